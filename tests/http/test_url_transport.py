"""Tests of bronzeslip.http.url_transport, over loopback."""

import asyncio
import ssl
import unittest

import httpx

from bronzeslip.http import bounded_transport
from bronzeslip.http import server
from bronzeslip.http import url_transport
from bronzeslip.settings import http
from tests.support import certificates
from tests.support import raw_server

_RESPONSE = raw_server.create_response(b"first")


async def _app(scope, receive, send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body"})


class HttpsTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = server.HttpServer(
            _app,
            http.HttpSettings(
                http_certificate_file=certificates.path("trusted-certificate"),
                http_private_key_file=certificates.path("trusted-key"),
            ),
        )
        self.server.start()
        self.addAsyncCleanup(self.server.abort)

    async def _get(self, transport):
        async with httpx.AsyncClient(transport=transport) as client:
            return await client.get(f"https://127.0.0.1:{self.server.port}/")

    async def test_trusted_server_is_asked(self):
        context = ssl.create_default_context(
            cafile=certificates.path("trusted-ca")
        )
        transport = bounded_transport.BoundedTransport(
            1000, None, ssl_context=context
        )
        self.assertEqual((await self._get(transport)).status_code, 204)

    async def test_server_without_a_trusted_certificate_is_not_asked(self):
        # The failed handshake is reported at the server's end too.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with self.assertRaises(httpx.ConnectError):
            await self._get(url_transport.create())


class PlainTransportTest(unittest.IsolatedAsyncioTestCase):
    async def _connection_count(self, transport):
        """Returns the number of connections that two requests use."""
        endpoint = raw_server.RawServer(_RESPONSE, _RESPONSE)
        port = await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        async with httpx.AsyncClient(transport=transport) as client:
            for _ in range(2):
                await client.get(f"http://127.0.0.1:{port}/")
        return endpoint.connection_count

    async def test_connections_are_kept_unless_none_may_be_idle(self):
        for max_idle, count in ((None, 1), (20, 1), (0, 2)):
            with self.subTest(max_idle=max_idle):
                transport = url_transport.create(max_idle_connections=max_idle)
                self.assertEqual(await self._connection_count(transport), count)


if __name__ == "__main__":
    unittest.main()
