"""Tests of the admission gate."""

import unittest

from bronzeslip import ids
from bronzeslip.admission import errors
from bronzeslip.admission import gate
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import reason

_SETTINGS = sidecar.SidecarSettings(
    vm_id=ids.VmId("vm"),
    region=ids.RegionName("here"),
    failure_domain=ids.FailureDomainName("here-1"),
    peer_key="key",
    platform_url="http://platform",
    endpoint_id=ids.EndpointId("e"),
    pool=ids.PoolName("p"),
    endpoint_url="http://endpoint",
)


class AdmissionGateTest(unittest.IsolatedAsyncioTestCase):
    async def assert_refused(self, admission_gate):
        with self.assertRaises(errors.AdmissionRefusedError) as caught:
            await admission_gate.enter(1.0)
        self.assertIs(caught.exception.refusal, reason.RefusalReason.DRAINING)
        self.assertTrue(admission_gate.load.draining)

    async def test_paused_gate_refuses_until_resumed(self):
        admission_gate = gate.AdmissionGate(_SETTINGS)
        await admission_gate.enter(1.0)
        admission_gate.pause()
        await self.assert_refused(admission_gate)
        admission_gate.leave()
        await admission_gate.wait_idle()
        admission_gate.resume()
        await admission_gate.enter(1.0)

    async def test_drain_persists_after_resume(self):
        admission_gate = gate.AdmissionGate(_SETTINGS)
        admission_gate.pause()
        admission_gate.drain()
        admission_gate.resume()
        await self.assert_refused(admission_gate)


if __name__ == "__main__":
    unittest.main()
