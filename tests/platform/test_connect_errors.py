"""Tests of connections to endpoints that can't be opened."""

import errno
import socket
import unittest
from unittest import mock

from bronzeslip.endpoints import directory
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts

_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL)


class ConnectErrorsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    async def check_presence(self):
        settings = forwarding_parts.SETTINGS
        client = endpoint_http.HttpEndpointClient(
            settings, directory.EndpointDirectory(settings)
        )
        await client.check_presence(self.endpoint, "/health")

    # Guards against taking a lack of descriptors for a crash of the endpoint.
    async def test_a_local_lack_is_no_absence(self):
        for number in _LOCAL_ERRORS:
            with (
                self.subTest(errno=errno.errorcode[number]),
                mock.patch("socket.socket", side_effect=OSError(number, "")),
                self.assertRaises(
                    endpoint_errors.EndpointUnreachableError
                ) as raised,
            ):
                await self.check_presence()
            self.assertEqual(raised.exception.code, "endpoint-unreachable")

    async def test_a_refused_connection_is_absence(self):
        with self.assertRaises(endpoint_errors.EndpointAbsentError):
            await self.check_presence()


if __name__ == "__main__":
    unittest.main()
