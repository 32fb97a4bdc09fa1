"""Tests of the HTTP server with TLS."""

import ssl
import unittest

import httpx

from bronzeslip.http import server
from bronzeslip.settings import errors
from bronzeslip.settings import http
from tests.support import certificates


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


if __name__ == "__main__":
    unittest.main()
