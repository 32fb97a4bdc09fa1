"""Tests that extra responses answer no other request, over loopback.

A faulty server may send a response once more after it is complete.
"""

import unittest

from bronzeslip.engine import client as engine_client
from bronzeslip.store import client as store_client
from bronzeslip.transport.frames import call as frames
from tests.support import call_runners
from tests.support import raw_server

_TIMEOUT_S = 2.0


def _load(running):
    return raw_server.create_response(
        b'{"running":%d,"waiting":0,"blocks_used":0,"blocks_total":9,'
        b'"block_tokens":16,"step_time_s":0.01,"preemptions_total":0}' % running
    )


class ExtraResponseTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, first, second):
        """Starts a server that sends its first response twice.

        Returns:
            Its URL.
        """
        server = raw_server.RawServer(first + first, second, second)
        port = await server.start()
        self.addAsyncCleanup(server.stop)
        return f"http://127.0.0.1:{port}"

    # Guards against passing on the response to another call, and keeping it
    # with the claim of a call that must not be repeated.
    async def test_extra_response_answers_no_other_call(self):
        runner = call_runners.create(
            await self._start(
                raw_server.create_response(b"first"),
                raw_server.create_response(b"second"),
            )
        )
        self.addAsyncCleanup(runner.close)
        bodies = []
        for call_id in ("c1", "c2"):
            outcome = await runner.run(call_runners.create_start("/x", call_id))
            bodies.append(outcome.body)
        self.assertEqual(bodies, [b"first", b"second"])

    # Guards against keeping the response to an earlier call with the claim of
    # a call that must not be repeated, if it arrives where the next is due.
    async def test_late_response_is_no_outcome_of_a_call_that_runs_once(self):
        server = raw_server.RawServer(
            raw_server.create_response(b"first"),
            raw_server.create_response(b"second"),
        )
        server.repeats_responses = True
        port = await server.start()
        self.addAsyncCleanup(server.stop)
        runner = call_runners.create(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(runner.close)
        bodies = []
        for call_id in ("c1", "c2"):
            ticket = runner.prepare(frames.PrepareCall(call_id)).ticket
            start = call_runners.create_start(
                "/x", call_id, idempotent=False, ticket=ticket
            )
            bodies.append((await runner.run(start)).body)
        self.assertEqual(bodies, [b"first", b"second"])

    # Guards against loads that lag behind by one more for each extra one.
    async def test_extra_response_is_no_later_load_of_an_engine(self):
        engine = engine_client.EngineClient(
            await self._start(_load(1), _load(2))
        )
        self.addAsyncCleanup(engine.close)
        loads = [await engine.load() for _ in range(2)]
        self.assertEqual([load.running for load in loads], [1, 2])

    # Guards against taking an extra response of the store for another object.
    async def test_extra_response_of_the_store_is_no_other_object(self):
        keys = ("a", "b")
        url = await self._start(
            *(
                raw_server.create_response(
                    b'{"key":"%s","value":{},"version":1}' % key.encode()
                )
                for key in keys
            )
        )
        store = store_client.PlatformClient(url, _TIMEOUT_S)
        self.addAsyncCleanup(store.close)
        found = [await store.get(key) for key in keys]
        self.assertEqual([entry.key for entry in found], ["a", "b"])


if __name__ == "__main__":
    unittest.main()
