"""Tests of bronzeslip.http.bounded_transport."""

import ssl
import unittest
from unittest import mock

from bronzeslip.http import bounded_transport

_MAX_HEAD_BYTES = 1024


class BoundedTransportTest(unittest.TestCase):
    # Guards against the cost of a TLS context for each plain connection.
    def test_transports_share_one_unused_tls_context(self):
        with mock.patch.object(
            ssl, "SSLContext", wraps=ssl.SSLContext
        ) as created:
            for _ in range(10):
                bounded_transport.BoundedTransport(_MAX_HEAD_BYTES, 1)
        self.assertLessEqual(created.call_count, 1)


if __name__ == "__main__":
    unittest.main()
