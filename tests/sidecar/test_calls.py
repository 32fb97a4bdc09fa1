"""Tests of the calls that a sidecar runs on its plain endpoint."""

import unittest

from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import call_runners


class RecordingEndpoint:
    """Records the targets of its requests."""

    def __init__(self):
        self.targets = []

    async def __call__(self, scope, receive, send):
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        self.targets.append(target.decode())
        await send(
            {"type": "http.response.start", "status": 204, "headers": []}
        )
        await send({"type": "http.response.body"})


class CallRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self):
        endpoint = RecordingEndpoint()
        instance = server.HttpServer(endpoint, http.HttpSettings())
        instance.start()
        self.addAsyncCleanup(instance.abort)
        return endpoint, f"127.0.0.1:{instance.port}"

    async def run_call(self, address, path):
        runner = call_runners.create(f"http://{address}")
        try:
            return await runner.run(call_runners.create_start(path))
        finally:
            await runner.close()

    async def test_a_path_cannot_name_another_host(self):
        endpoint, address = await self.serve()
        other, other_address = await self.serve()
        for path in (
            f"//{other_address}/x",
            f"http://{other_address}/x",
            f"@{other_address}/x",
            f"/\\{other_address}/x",
        ):
            with self.subTest(path=path):
                await self.run_call(address, path)
                self.assertEqual(other.targets, [])
        self.assertTrue(endpoint.targets)

    async def test_target_arrives_as_it_was_sent(self):
        endpoint, address = await self.serve()
        for path in ("/a%2Fb%3Fc%23d?year=1&x=%26", "/%C3%A9", "//a"):
            with self.subTest(path=path):
                outcome = await self.run_call(address, path)
                self.assertEqual(outcome.status, 204)
                self.assertEqual(endpoint.targets.pop(), path)


if __name__ == "__main__":
    unittest.main()
