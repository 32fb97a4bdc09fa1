"""Tests of the gate of admission."""

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
    async def assert_refused(self, admission):
        with self.assertRaises(errors.AdmissionRefusedError) as caught:
            await admission.enter(1.0)
        self.assertIs(caught.exception.refusal, reason.RefusalReason.DRAINING)
        self.assertTrue(admission.load.draining)

    async def test_paused_gate_refuses_until_resumed(self):
        admission = gate.AdmissionGate(_SETTINGS)
        await admission.enter(1.0)
        admission.pause()
        await self.assert_refused(admission)
        admission.leave()
        await admission.wait_idle()
        admission.resume()
        await admission.enter(1.0)

    async def test_drain_outlasts_resume(self):
        admission = gate.AdmissionGate(_SETTINGS)
        admission.pause()
        admission.drain()
        admission.resume()
        await self.assert_refused(admission)


if __name__ == "__main__":
    unittest.main()
