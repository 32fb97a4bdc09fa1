"""Tests of responses that never end, over loopback.

An engine in trouble may send bytes that are no answer until the gateway closes
the connection: interim heads, headers, chunks or a body, fast or one at a time.
"""

import asyncio
import time
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import endless_server
from tests.support import forwarding_parts

_MAX_BODY_BYTES = 100_000
# Longest pause between the events of a stream that is on time.
_MAX_PAUSE_S = 0.18
_CALLERS = 24
_NOT_RUN_HEAD = (
    b"HTTP/1.1 503 Busy\r\nBronzeslip-Attempt-Id: q1\r\n"
    b"Bronzeslip-Not-Executed: 1\r\n"
)
_SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000


class _PauseWatch:
    """Measures for how long the event loop gives other tasks no turn.

    Attributes:
        longest_s: Longest time without a turn, in seconds.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0)
            self.longest_s = max(self.longest_s, time.monotonic() - before_s)


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = endless_server.EndlessServer()
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=self.port
        )

    async def _assert_bounded(self, call, error=endpoint_errors.EndpointError):
        await endless_server.assert_bounded(self, call, error)

    async def _forward(self):
        outgoing = dispatch.Dispatch(
            request=forwarding_parts.create_request(),
            endpoint=self.endpoint,
            remaining_s=2.0,
        )
        return await buffered_response.read(
            await self.client.send(outgoing),
            _MAX_BODY_BYTES,
            forwarding_parts.create_response_memory(),
        )

    def _control_calls(self):
        handle = ids.HandleId("h1")
        return {
            "report": lambda: self.client.report(self.endpoint),
            "copy": lambda: self.client.copy_run(
                self.endpoint, ids.RequestId("q1"), self.endpoint, False, 0.5
            ),
            "drop": lambda: self.client.drop_copy(self.endpoint, handle),
        }

    async def test_forwarded_requests(self):
        for name, script in endless_server.HEADS_AND_BODIES.items():
            with self.subTest(name):
                self.server.play(script)
                await self._assert_bounded(self._forward)

    async def test_control_calls(self):
        for call_name, call in self._control_calls().items():
            for name, script in endless_server.HEADS_AND_BODIES.items():
                with self.subTest(f"{call_name}: {name}"):
                    self.server.play(script)
                    await self._assert_bounded(call)

    async def test_slow_control_calls(self):
        for call_name, call in self._control_calls().items():
            for name, script in endless_server.SLOW.items():
                with self.subTest(f"{call_name}: {name}"):
                    self.server.play(script, pause_s=0.05)
                    await self._assert_bounded(call)

    # Guards against holding up all requests while the chunks that one read has
    # brought are processed.
    async def test_small_chunks_leave_turns_to_other_tasks(self):
        calls = {**self._control_calls(), "forward": self._forward}
        for name, call in calls.items():
            with self.subTest(name):
                self.server.play(
                    (
                        endless_server.HEAD + endless_server.CHUNKED,
                        _SMALL_CHUNKS,
                    )
                )
                watch = _PauseWatch()
                task = asyncio.create_task(watch.run())
                await self._assert_bounded(call)
                task.cancel()
                self.assertLess(watch.longest_s, _MAX_PAUSE_S)

    # Guards against holding up all requests while interim responses are parsed,
    # which takes much longer than sending them.
    async def test_interim_responses_leave_turns_to_other_tasks(self):
        self.server.play(endless_server.HEADS["interim heads"])
        watch = _PauseWatch()
        task = asyncio.create_task(watch.run())
        calls = [self._assert_bounded(self._forward) for _ in range(_CALLERS)]
        await asyncio.gather(*calls)
        task.cancel()
        self.assertLess(watch.longest_s, _MAX_PAUSE_S)

    async def test_health_checks(self):
        def check():
            return self.client.check_presence(self.endpoint, "/health")

        for name, script in endless_server.HEADS.items():
            with self.subTest(name):
                self.server.play(script)
                await self._assert_bounded(check)
        self.server.play(endless_server.SLOW["slow head"], pause_s=0.05)
        await self._assert_bounded(check)

    async def test_body_of_a_refusal(self):
        for pause_s, repeated in ((0.0, endless_server.FILLER), (0.05, b"x")):
            self.server.play((_NOT_RUN_HEAD + b"\r\n", repeated), pause_s)
            outgoing = dispatch.Dispatch(
                request=forwarding_parts.create_request(),
                endpoint=self.endpoint,
                remaining_s=2.0,
            )
            response = await self.client.send(outgoing)
            await asyncio.wait_for(response.close(), 1.0)

    async def test_calls_to_the_store(self):
        client = store_client.StoreClient(
            vm_config.SocketAddress("127.0.0.1", self.port),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
        )
        self.addAsyncCleanup(client.close)
        for name, script in endless_server.HEADS_AND_BODIES.items():
            with self.subTest(name):
                self.server.play(script)
                await self._assert_bounded(
                    lambda: client.list_objects("things/"),
                    errors.PlatformError,
                )
        for name, script in endless_server.SLOW.items():
            with self.subTest(name):
                self.server.play(script, pause_s=0.05)
                await self._assert_bounded(
                    lambda: client.list_objects("things/"),
                    errors.PlatformError,
                )

    async def test_report_beyond_its_length_is_used_and_the_rest_dropped(self):
        body = msgspec.json.encode(
            {"waiting": 0, "running": 1, "kv_used": 2, "kv_total": 3}
        )
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.server.play(
            (endless_server.HEAD + length + body, endless_server.FILLER)
        )
        report = await self.client.report(self.endpoint)
        self.assertEqual(report.used_tokens, 2)


if __name__ == "__main__":
    unittest.main()
