"""A request that ends every endpoint that runs it, met by two gateways."""

import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_POISON = b"crash"
_READS = entry_configuration.READS_PATH


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            2, 4, has_endpoint_proxies=False
        )
        self.addCleanup(self.deployment.stop)
        self.first, self.second = self.deployment.gateways

    def _count_ended(self):
        return sum(
            desk.process.exit_status is not None
            for desk in self.deployment.call_endpoints
        )

    def test_all_gateways_refuse_it_after_two_crashes(self):
        answer = self.first.call("poison-1", _READS, _POISON)
        self.assertEqual(answer.status_code, httpx.codes.BAD_GATEWAY)
        self.assertEqual(self._count_ended(), 2)

        def is_refused():
            answer = self.second.call("poison-2", _READS, _POISON)
            return answer.status_code == httpx.codes.SERVICE_UNAVAILABLE

        self.second.process.wait_for_line('"suspects.')
        wait.until(is_refused)
        # The second gateway may meet it when it has been told of one.
        self.assertLessEqual(self._count_ended(), 3)
        for gateway in self.deployment.gateways:
            for number in range(5):
                request_id = f"innocent-{id(gateway)}-{number}"
                answer = gateway.call(request_id, _READS, b"tin")
                self.assertEqual(answer.status_code, httpx.codes.OK)


if __name__ == "__main__":
    unittest.main()
