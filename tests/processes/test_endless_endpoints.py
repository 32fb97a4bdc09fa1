"""Tests of a gateway whose endpoints send bytes without end, as a process."""

import asyncio
import contextlib
import time
import unittest

import httpx

from tests.support import endless_server
from tests.support import raw_caller
from tools import entry_configuration
from tools import entry_deployment
from tools import memory_watch
from tools import sampling

# The smallest VMs have this limit.
_MEMORY_MB = 128
_FAULTY_ENDPOINTS = 3
_CALLERS = 24
# Time for which the callers go on with each kind of response.
_DURATION_S = 2.0
# Leaves the test the time to measure.
_PAUSE_S = 0.005
_GOAL_S = 1.0
_UNKNOWN_PATH = "/unknown/"


class EndlessEndpointTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            has_endpoint_proxies=False, memory_mb=_MEMORY_MB
        )
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        self.watch = memory_watch.MemoryWatch(self.gateway.process.pid)
        self.servers = []
        for number in range(_FAULTY_ENDPOINTS):
            server = endless_server.EndlessServer()
            port = await server.start()
            self.addAsyncCleanup(server.stop)
            self.servers.append(server)
            self.deployment.put_object(
                "servers",
                f"faulty-{number}",
                entry_configuration.discovery_entry(
                    "desk", port, "ready", 1, "a-1", 0.0
                ),
            )
        for endpoint in self.deployment.call_endpoints:
            await asyncio.to_thread(
                self.deployment.remove_object, "servers", endpoint.endpoint_id
            )

    async def _call_until(self, end_s):
        """Calls the faulty endpoints; leaves when a response takes long."""
        number = 0
        while time.monotonic() < end_s:
            number += 1
            with contextlib.suppress(
                TimeoutError, OSError, asyncio.IncompleteReadError
            ):
                async with (
                    asyncio.timeout(_GOAL_S),
                    raw_caller.RawCaller.connect(
                        self.gateway.caller_address
                    ) as caller,
                ):
                    caller.send(
                        f"n-{id(caller)}-{number}",
                        entry_configuration.READS_PATH,
                        b"x",
                    )
                    await caller.read_response()

    async def _measure_bystander(self, end_s):
        """Returns the times of calls that need no endpoint."""
        times_s = []
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            response = await asyncio.to_thread(
                self.gateway.call, "bystander", _UNKNOWN_PATH
            )
            self.assertEqual(response.status_code, httpx.codes.NOT_FOUND)
            times_s.append(time.monotonic() - started_s)
            await asyncio.sleep(0.05)
        return times_s

    # Guards against a gateway that keeps such bytes until its memory is
    # exhausted, or that serves nobody else while it reads them.
    async def test_gateway_keeps_its_memory_limit_and_serves_others(self):
        await self._check_all(echoes_ids=True)

    # Guards against the same where the responses are those to other requests,
    # which are skipped.
    async def test_skipped_responses_are_bounded_too(self):
        await self._check_all(echoes_ids=False)

    async def _check_all(self, echoes_ids):
        median_times_s = {}
        with sampling.repeat(self.watch.sample):
            for name, script in endless_server.HEADS_AND_BODIES.items():
                for server in self.servers:
                    server.echoes_ids = echoes_ids
                    server.play(script, _PAUSE_S)
                end_s = time.monotonic() + _DURATION_S
                times_s, *_ = await asyncio.gather(
                    self._measure_bystander(end_s),
                    *(self._call_until(end_s) for _ in range(_CALLERS)),
                )
                median_times_s[name] = sorted(times_s)[len(times_s) // 2]
        self.assertIsNone(self.gateway.process.exit_status)
        self.assertLessEqual(self.watch.peak_bytes, _MEMORY_MB * 1_000_000)
        self.assertLess(max(median_times_s.values()), _GOAL_S, median_times_s)


if __name__ == "__main__":
    unittest.main()
