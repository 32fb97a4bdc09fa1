"""Tests of endpoints whose responses end with their connection."""

import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment

_STREAMS_PATH = entry_configuration.STREAMS_PATH


class UnframedEndpointTest(unittest.TestCase):
    """The first endpoint of each service is unframed, the second is not."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment(
            1, 2, has_unframed_endpoints=True
        )
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways

    def _assert_all_ran(self, endpoints, name):
        for endpoint in endpoints:
            self.assertTrue(
                any(
                    request_id.startswith(name)
                    for request_id in endpoint.executed_request_ids
                ),
                endpoint.endpoint_id,
            )

    def test_calls_and_streams_are_served_whole(self):
        for number in range(20):
            call = self.gateway.call(f"call-{number}", body=b"tin")
            self.assertEqual(call.content, b"ran tin")
            stream = self.gateway.call(
                f"stream-{number}", _STREAMS_PATH, b"stream"
            )
            self.assertEqual(stream.text.count("data: "), 5)
        self._assert_all_ran(self.deployment.call_endpoints, "call-")
        self._assert_all_ran(self.deployment.engines, "stream-")

    # Guards against ending a stream that broke off inside an event as complete.
    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        for number in range(20):
            with self.assertRaises(httpx.RemoteProtocolError):
                self.gateway.call(
                    f"broken-{number}", _STREAMS_PATH, b"broken-stream"
                )
        self._assert_all_ran(self.deployment.engines, "broken-")


if __name__ == "__main__":
    unittest.main()
