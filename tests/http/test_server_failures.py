"""Tests of unexpected exceptions in bronzeslip.http.server."""

import asyncio
import contextlib
import unittest
from unittest import mock

import httpx
import uvicorn

from bronzeslip.http import connection_limits
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import log_capture
from tests.support import polling

_LIMITS = connection_limits.ConnectionLimits(10_000, 5.0, 5.0)


class _App:
    """Application that fails or waits as its path says."""

    def __init__(self):
        self.waiting = asyncio.Event()
        self.go_on = asyncio.Event()

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        if path == "/fails":
            raise KeyError("secret")
        if path == "/waits":
            self.waiting.set()
            await self.go_on.wait()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"2")],
            }
        )
        if path == "/fails-late":
            raise KeyError("secret")
        await send({"type": "http.response.body", "body": b"ok"})


class ServerFailureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.limits_error = None
        self.app = _App()
        self.client = httpx.AsyncClient()
        self.addAsyncCleanup(self.client.aclose)
        self.log = self.enterContext(log_capture.capture())

    def _limits(self):
        if self.limits_error is not None:
            error, self.limits_error = self.limits_error, None
            raise error
        return _LIMITS

    def _start(self):
        self.server = server.HttpServer(
            self.app, http.HttpSettings(), self._limits
        )
        self.server.start()
        self.addAsyncCleanup(self.server.abort)

    async def _get(self, path):
        return await self.client.get(
            f"http://127.0.0.1:{self.server.port}{path}"
        )

    # A server whose periodic work had failed cut off requests at a shutdown.
    async def test_stop_after_a_failure_waits_for_requests(self):
        with mock.patch.object(
            uvicorn.Server, "on_tick", side_effect=OverflowError
        ):
            self._start()
            await polling.wait_until(
                lambda: self.log.matching("http.server_failed")
            )
        waiting = asyncio.create_task(self._get("/waits"))
        await self.app.waiting.wait()
        stopping = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0.1)
        self.app.go_on.set()
        self.assertEqual((await waiting).text, "ok")
        await stopping

    # A server that could not accept connections at first never did.
    async def test_accepts_connections_after_a_failure(self):
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_server", side_effect=OSError):
            self._start()
            await polling.wait_until(
                lambda: self.log.matching("http.server_failed")
            )
        self.assertEqual((await self._get("/")).text, "ok")

    async def test_stops_while_it_fails(self):
        with mock.patch.object(
            uvicorn.Server, "on_tick", side_effect=OverflowError
        ):
            self._start()
            await asyncio.sleep(0)
            await asyncio.wait_for(self.server.stop(), 5.0)

    # A traceback was written between the log lines.
    async def test_failed_request_is_answered_and_logged(self):
        self._start()
        self.assertEqual((await self._get("/fails")).status_code, 500)
        with self.assertRaises(httpx.RemoteProtocolError):
            await self._get("/fails-late")
        self.assertEqual((await self._get("/")).text, "ok")
        lines = self.log.matching("http.app_failed")
        self.assertEqual(len(lines), 2)
        self.assertNotIn("secret", str(lines))

    async def test_exception_of_the_protocol_closes_one_connection(self):
        self._start()
        unhandled = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: unhandled.append(context["exception"])
        )
        with contextlib.closing(await self._connect()) as other:
            failing = await self._connect()
            self.limits_error = ZeroDivisionError()
            failing.write(b"GET / HTTP/1.1\r\n")
            await polling.wait_until(lambda: unhandled)
            other.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            head = await asyncio.wait_for(self.reader.readline(), 5.0)
            failing.close()
        self.assertIn(b"200", head)
        self.assertIsInstance(unhandled[0], ZeroDivisionError)

    async def _connect(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        if not hasattr(self, "reader"):
            self.reader = reader
        await asyncio.sleep(0.05)
        return writer


if __name__ == "__main__":
    unittest.main()
