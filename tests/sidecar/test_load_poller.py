"""Tests of polling the engine's load reports."""

import unittest

from bronzeslip import ids
from bronzeslip.admission import memory_gate
from bronzeslip.engine import errors
from bronzeslip.engine import messages
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import cache_index
from bronzeslip.sidecar import load_poller

_SETTINGS = sidecar.SidecarSettings(
    vm_id=ids.VmId("vm"),
    region=ids.RegionName("here"),
    failure_domain=ids.FailureDomainName("here-1"),
    peer_key="key",
    platform_url="",
    endpoint_id=ids.EndpointId("e"),
    pool=ids.PoolName("p"),
    endpoint_url="",
)
_REPORT = messages.EngineLoad(1, 0, 8, 64, 16, 0.04, 0)


class _Engine:
    def __init__(self, answer):
        self.answer = answer

    async def load(self):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def cache_events(self, after_sequence):
        return ()


class LoadPollerTest(unittest.IsolatedAsyncioTestCase):
    async def test_forwards_reports_and_survives_failures(self):
        gate = memory_gate.MemoryGate(_SETTINGS)
        unknown_step_s = gate.load.step_time_s
        engine = _Engine(errors.EngineUnavailableError("away"))
        poller = load_poller.LoadPoller(
            _SETTINGS, engine, gate, cache_index.CacheIndex(_SETTINGS)
        )
        await poller.poll_once()
        self.assertEqual(gate.load.step_time_s, unknown_step_s)
        engine.answer = _REPORT
        await poller.poll_once()
        self.assertGreater(gate.load.step_time_s, unknown_step_s)


if __name__ == "__main__":
    unittest.main()
