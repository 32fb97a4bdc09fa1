"""Tests of the memory of a gateway process under bursts of large requests."""

import asyncio
import collections
import contextlib
import time
import unittest

import httpx

from tests.support import raw_caller
from tools import entry_configuration
from tools import entry_deployment
from tools import entry_gateway
from tools import memory_watch
from tools import sampling
from tools import wait

_LIMIT_BYTES = entry_gateway.MEMORY_MB * 1_000_000
_MAX_BODY_BYTES = entry_configuration.MAX_BODY_BYTES
_BUFFERED_RESPONSE_BYTES = 1024 * 1024
_BODY_START = b"discard "
_WHOLE_BODY = _BODY_START.ljust(_MAX_BODY_BYTES, b"x")
# Deadline of the requests, and time for their last answers to arrive.
_ANSWER_TIMEOUT_S = 17.0
_GOAL_S = 1.0
_SETTLE_S = 3.0
_CALLS = entry_configuration.CALLS_PATH
_READS = entry_configuration.READS_PATH
_STREAMS = entry_configuration.STREAMS_PATH


class MemoryLimitTest(unittest.IsolatedAsyncioTestCase):
    """A process that exceeds its limit is killed, with all its requests."""

    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            has_endpoint_proxies=False
        )
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        self.write_wide_limits()
        self.watch = memory_watch.MemoryWatch(self.gateway.process.pid)

    def write_wide_limits(self):
        """Allows many requests at once and long idle times."""
        document = entry_configuration.configuration(2)
        document["limits"]["idle_timeout_ms"] = 60_000
        for service in document["services"]:
            service["max_conns"] = 500
        for endpoint in self.deployment.endpoints:
            entry = {**endpoint.discovery_entry(), "slots": 200, "seq": 2}
            self.deployment.put_object("servers", endpoint.endpoint_id, entry)
        self.deployment.put_object("config", "main", document)
        wait.until(
            lambda: (
                "bronzeslip_configuration_number 2"
                in self.gateway.fetch_metrics()
            )
        )

    @contextlib.asynccontextmanager
    async def connect(self, count):
        """Yields connected callers."""
        async with contextlib.AsyncExitStack() as stack:
            yield [
                await stack.enter_async_context(
                    raw_caller.RawCaller.connect(self.gateway.caller_address)
                )
                for _ in range(count)
            ]

    @contextlib.asynccontextmanager
    async def send(self, count, path, body, size_bytes=None):
        """Yields callers that have sent a request; memory is watched."""
        with sampling.repeat(self.watch.sample):
            async with self.connect(count) as callers:
                for number, caller in enumerate(callers):
                    caller.send(f"n-{number}", path, body, size_bytes)
                yield callers

    async def collect(self, readings):
        """Waits for all responses and checks those of refused requests."""
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            responses = await asyncio.gather(*readings)
        for response in responses:
            if response.status == httpx.codes.SERVICE_UNAVAILABLE:
                self.assertIn("retry-after", response.headers)
        return collections.Counter(response.status for response in responses)

    async def assert_small_call_is_prompt(self):
        """Checks that a small call is served within the goal of its route."""
        started_s = time.monotonic()
        response = await asyncio.to_thread(self.gateway.call, "small")
        self.assertEqual(response.status_code, httpx.codes.OK)
        self.assertLess(time.monotonic() - started_s, _GOAL_S)

    async def assert_sound(self):
        """Checks that the process serves calls and has kept its limit."""
        self.assertIsNone(self.gateway.process.exit_status)
        await self.assert_small_call_is_prompt()
        async with self.connect(1) as (caller,):
            caller.send("large-afterwards", _CALLS, _WHOLE_BODY)
            statuses = await self.collect([caller.read_response()])
        self.assertEqual(statuses, {httpx.codes.OK: 1})

    def assert_within_limit(self):
        """Checks the limit once the watch has ended."""
        self.assertLessEqual(
            self.watch.peak_bytes,
            _LIMIT_BYTES,
            f"{self.watch.resident_peak_bytes} of them resident at most",
        )

    # Guards against exceeding the memory limit by a burst of large bodies.
    async def test_burst_of_whole_bodies(self):
        async with self.send(40, _CALLS, _WHOLE_BODY) as callers:
            statuses = await self.collect(
                caller.read_response() for caller in callers
            )
            self.assertLessEqual(statuses.keys(), {200, 503})
            self.assertGreater(statuses[200], 0)
            await self.assert_sound()
        self.assert_within_limit()

    # Guards against exceeding the memory limit by bodies that stop arriving,
    # and against refusing or delaying small requests because of them.
    async def test_bodies_that_stop_arriving(self):
        part = _WHOLE_BODY[: _MAX_BODY_BYTES // 10]
        rest = _WHOLE_BODY[len(part) :]
        async with self.send(300, _CALLS, part, _MAX_BODY_BYTES) as callers:
            answering = {
                caller: asyncio.create_task(caller.read_response())
                for caller in callers
            }
            await asyncio.sleep(_SETTLE_S)
            await self.assert_small_call_is_prompt()
            answered = [
                caller for caller in callers if answering[caller].done()
            ]
            resumed = [
                caller for caller in callers if not answering[caller].done()
            ][:10]
            for caller in resumed:
                caller.send_more(rest)
            statuses = await self.collect(
                answering[caller] for caller in (*answered, *resumed)
            )
            self.assertLessEqual(statuses.keys(), {200, 503})
            for task in answering.values():
                task.cancel()
            await asyncio.wait(answering.values())
            await self.assert_small_call_is_prompt()
        await self.assert_sound()
        self.assert_within_limit()

    # Guards against exceeding the memory limit by large responses whose
    # callers do not read them yet.
    async def test_large_responses_that_are_not_read(self):
        body = b"large %d" % (_BUFFERED_RESPONSE_BYTES - 1)
        async with self.send(80, _CALLS, body) as callers:
            statuses = await self.read_later(callers)
            self.assertLessEqual(statuses.keys(), {200, 503})
            self.assertGreater(statuses[200], 0)
            await self.assert_sound()
        self.assert_within_limit()

    # Guards against exceeding the memory limit by responses that are larger
    # than what is buffered of one. They are relayed as a whole, which
    # `read_response` checks by their length.
    async def test_responses_that_are_relayed(self):
        body = b"large %d" % (2 * _BUFFERED_RESPONSE_BYTES)
        async with self.send(60, _CALLS, body) as callers:
            statuses = await self.read_later(callers)
            self.assertLessEqual(statuses.keys(), {200, 503})
            self.assertGreater(statuses[200], 0)
            await self.assert_sound()
        self.assert_within_limit()

    async def read_later(self, callers):
        """Reads responses after some time in which nothing is read."""
        await asyncio.sleep(_SETTLE_S)
        await self.assert_small_call_is_prompt()
        return await self.collect(caller.read_response() for caller in callers)

    # Guards against exceeding the memory limit by idle connections.
    async def test_idle_connections(self):
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(sampling.repeat(self.watch.sample))
            for _ in range(20):
                callers = await stack.enter_async_context(self.connect(100))
                await self.call_each(callers)
            await self.call_each(callers)
            await self.assert_sound()
        self.assert_within_limit()

    async def call_each(self, callers):
        """Makes a small call over each connection at once."""
        for number, caller in enumerate(callers):
            caller.send(f"small-{number}", _CALLS, b"x")
        statuses = await self.collect(
            caller.read_response() for caller in callers
        )
        self.assertEqual(statuses, {httpx.codes.OK: len(callers)})

    # Guards against exceeding the memory limit by streams that callers do not
    # read.
    async def test_streams_that_are_not_read(self):
        async with self.send(60, _STREAMS, b"many-events") as callers:
            await self.read_heads_later(callers)
            await self.assert_sound()
        self.assert_within_limit()

    # Guards against exceeding the memory limit by events without an end.
    async def test_events_without_an_end(self):
        async with self.send(100, _STREAMS, b"endless-event") as callers:
            await self.read_heads_later(callers)
            await self.assert_sound()
        self.assert_within_limit()

    async def read_heads_later(self, callers):
        """Reads the heads of responses that have had time to fill buffers."""
        await asyncio.sleep(2 * _SETTLE_S)
        await self.assert_small_call_is_prompt()
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            heads = await asyncio.gather(
                *(caller.read_head() for caller in callers)
            )
        self.assertLessEqual({status for status, _ in heads}, {200, 502, 503})

    # Guards against exceeding the memory limit by bodies that are kept for
    # retries.
    async def test_bodies_that_are_kept_for_retries(self):
        body = b"cut-off ".ljust(_MAX_BODY_BYTES, b"x")
        async with self.send(40, _READS, body) as callers:
            statuses = await self.collect(
                caller.read_response() for caller in callers
            )
            self.assertLessEqual(statuses.keys(), {502, 503, 504})
            await self.assert_sound()
        self.assert_within_limit()


if __name__ == "__main__":
    unittest.main()
