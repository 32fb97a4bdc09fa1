"""Tests of a request that crashes endpoints and reaches two gateways."""

import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_CRASHING_BODY = b"crash"
_READ_PATH = entry_configuration.READS_PATH


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            2, 4, has_endpoint_proxies=False
        )
        self.addCleanup(self.deployment.stop)
        self.first, self.second = self.deployment.gateways

    def _count_crashed(self):
        return sum(
            call_endpoint.process.exit_status is not None
            for call_endpoint in self.deployment.call_endpoints
        )

    def test_all_gateways_reject_it_after_two_crashes(self):
        response = self.first.call("poison-1", _READ_PATH, _CRASHING_BODY)
        self.assertEqual(response.status_code, httpx.codes.BAD_GATEWAY)
        self.assertEqual(self._count_crashed(), 2)

        def is_rejected():
            response = self.second.call("poison-2", _READ_PATH, _CRASHING_BODY)
            return response.status_code == httpx.codes.SERVICE_UNAVAILABLE

        self.second.process.wait_for_line('"suspects.')
        wait.until(is_rejected)
        # The second gateway may dispatch it once more if it has only learned of
        # one crash so far.
        self.assertLessEqual(self._count_crashed(), 3)
        for gateway in self.deployment.gateways:
            for number in range(5):
                request_id = f"innocent-{id(gateway)}-{number}"
                response = gateway.call(request_id, _READ_PATH, b"tin")
                self.assertEqual(response.status_code, httpx.codes.OK)


if __name__ == "__main__":
    unittest.main()
