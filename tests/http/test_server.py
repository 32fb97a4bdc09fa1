"""Tests of the HTTP server: TLS, ports that are taken, no descriptors."""

import asyncio
import errno
import socket
import ssl
import unittest
from unittest import mock

import httpx

from bronzeslip.http import server
from bronzeslip.settings import errors
from bronzeslip.settings import http
from tests.support import certificates
from tests.support import polling


async def _app(scope, receive, send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body"})


class HttpsTest(unittest.IsolatedAsyncioTestCase):
    async def test_serves_https(self):
        settings = http.HttpSettings(
            http_certificate_file=certificates.path("trusted-certificate"),
            http_private_key_file=certificates.path("trusted-key"),
        )
        settings.check()
        http_server = server.HttpServer(_app, settings)
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        context = ssl.create_default_context(
            cafile=certificates.path("trusted-ca")
        )
        async with httpx.AsyncClient(verify=context) as client:
            response = await client.get(
                f"https://127.0.0.1:{http_server.port}/"
            )
        self.assertEqual(response.status_code, 204)

    async def test_key_without_a_certificate_is_rejected(self):
        settings = http.HttpSettings(http_private_key_file="/none")
        with self.assertRaisesRegex(
            errors.SettingsError, "--http-certificate-file: missing"
        ):
            settings.check()

    async def test_unreadable_file_is_rejected(self):
        settings = http.HttpSettings(
            http_certificate_file="/none", http_private_key_file="/none"
        )
        with self.assertRaisesRegex(
            errors.SettingsError, "--http-certificate-file: '/none'"
        ):
            settings.check()


class TakenPortTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.holder = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.holder.close)
        self.port = self.holder.getsockname()[1]

    def create_server(self, **settings):
        http_server = server.HttpServer(
            _app, http.HttpSettings(http_port=self.port, **settings)
        )
        self.addAsyncCleanup(http_server.abort)
        return http_server

    # Guards against an OSError that ends the process at its start.
    async def test_listens_once_the_port_is_free(self):
        http_server = self.create_server()
        http_server.start()
        self.assertFalse(http_server.is_listening)
        self.assertEqual(http_server.port, self.port)
        self.holder.close()
        await polling.wait_until(lambda: http_server.is_listening)
        async with httpx.AsyncClient() as client:
            response = await client.get(f"http://127.0.0.1:{self.port}/")
        self.assertEqual(response.status_code, 204)

    # Guards against an address that the machine has not been given yet.
    async def test_an_absent_address_is_tried_again(self):
        http_server = self.create_server(listen_address="192.0.2.1")
        http_server.start()
        self.assertFalse(http_server.is_listening)

    # Guards against a shutdown that waits for a port.
    async def test_stops_while_the_port_is_taken(self):
        for name in ("stop", "abort"):
            with self.subTest(method=name):
                http_server = self.create_server()
                http_server.start()
                await asyncio.sleep(0)
                async with asyncio.timeout(1):
                    await getattr(http_server, name)()
                self.assertFalse(http_server.is_listening)


class DescriptorsTest(unittest.IsolatedAsyncioTestCase):
    # Guards against thousands of errors and attempts per connection.
    async def test_a_lack_of_descriptors_is_reported_once(self):
        http_server = server.HttpServer(_app, http.HttpSettings())
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        reports = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reports.append(context["message"])
        )
        exhausted = OSError(errno.EMFILE, "too many open files")
        with (
            mock.patch.object(socket.socket, "accept", side_effect=exhausted),
            socket.create_connection(("127.0.0.1", http_server.port)),
        ):
            await polling.wait_until(lambda: reports)
            await asyncio.sleep(0.1)
        self.assertEqual(reports, ["socket.accept() out of system resource"])
        async with httpx.AsyncClient() as client:
            response = await client.get(f"http://127.0.0.1:{http_server.port}/")
        self.assertEqual(response.status_code, 204)


if __name__ == "__main__":
    unittest.main()
