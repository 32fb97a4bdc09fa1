"""Tests of the limits of the HTTP server over real connections."""

import asyncio
import contextlib
import json
import unittest

from bronzeslip.http import server
from bronzeslip.settings import http

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n"
_UNKNOWN_CODINGS = (
    b"gzip, chunked",
    b"gzip\r\ntransfer-encoding: chunked",
    b"identity",
    b"xchunked",
)


class StreamingApp:
    """Responds with chunks until the caller disconnects."""

    def __init__(self, chunk=b"x", chunk_count=1):
        self.chunk = chunk
        self.chunk_count = chunk_count
        self.request_count = 0
        self.disconnected = asyncio.Event()

    async def __call__(self, scope, receive, send):
        self.request_count += 1
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        writing = asyncio.create_task(self._write(send))
        while (await receive())["type"] != "http.disconnect":
            pass
        if not writing.done():
            writing.cancel()
            self.disconnected.set()

    async def _write(self, send):
        for _ in range(self.chunk_count):
            await send(
                {
                    "type": "http.response.body",
                    "body": self.chunk,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})


class EchoingApp:
    """Responds with the path and the body of a request."""

    def __init__(self):
        self.served = []

    async def __call__(self, scope, receive, send):
        body, has_more = b"", True
        while has_more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            has_more = message["more_body"]
        self.served.append(scope["path"])
        body = b"%s:%s" % (scope["path"].encode(), body)
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"%d" % len(body))],
            }
        )
        await send({"type": "http.response.body", "body": body})


class LimitedProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, app, **settings):
        http_server = server.HttpServer(app, http.HttpSettings(**settings))
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        self.port = http_server.port

    async def connect(self, **options):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, **options
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data):
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(10):
            return await reader.read()

    def assert_problem(self, response, status, code):
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertTrue(
            head.startswith(f"HTTP/1.1 {status} ".encode()), response
        )
        self.assertIn(b"application/problem+json", head)
        problem = json.loads(body)
        self.assertEqual(problem["code"], code)
        self.assertEqual(problem["error"]["code"], code)

    # Guards against requests that reach an endpoint without their body.
    async def test_upgrade_with_a_body_is_rejected(self):
        app = StreamingApp()
        await self.start(app)
        head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n"
        for fields, body in (
            (b"content-length: 4\r\n", b"body"),
            (b"transfer-encoding: chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n"),
        ):
            with self.subTest(fields=fields):
                response = await self.exchange(
                    head + b"upgrade: h2c\r\n" + fields + b"\r\n" + body
                )
                self.assert_problem(response, 400, "upgrade-with-body")
        self.assertEqual(app.request_count, 0)

    # Guards against a body that its application takes for another one.
    async def test_unknown_transfer_coding_is_rejected(self):
        app = StreamingApp()
        await self.start(app)
        head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
        for coding in _UNKNOWN_CODINGS:
            with self.subTest(coding=coding):
                response = await self.exchange(
                    head + coding + b"\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
                )
                self.assert_problem(response, 501, "unknown-transfer-coding")
        self.assertEqual(app.request_count, 0)

    async def test_large_headers(self):
        app = StreamingApp()
        await self.start(app, max_header_bytes=2000)
        for name, rest in (
            ("one", b"a: " + b"x" * 3000 + b"\r\n\r\n"),
            ("many", b"a: b\r\n" * 1000 + b"\r\n"),
            ("unfinished", b"a: " + b"x" * 100_000),
        ):
            with self.subTest(name=name):
                response = await self.exchange(_REQUEST + rest)
                self.assert_problem(response, 431, "headers-too-large")
        with self.subTest(name="target"):
            response = await self.exchange(
                b"GET /" + b"x" * 3000 + b" HTTP/1.1\r\n\r\n"
            )
            self.assert_problem(response, 431, "headers-too-large")
        self.assertEqual(app.request_count, 0)

    async def test_late_headers(self):
        await self.start(StreamingApp(), header_timeout_s=0.1)
        for name, data in (("none", b""), ("some", _REQUEST)):
            with self.subTest(name=name):
                response = await self.exchange(data)
                self.assert_problem(response, 408, "read-timeout")

    async def test_malformed_request(self):
        await self.start(StreamingApp())
        response = await self.exchange(b"\x16\x03\x01\x02\x00\r\n\r\n")
        self.assert_problem(response, 400, "bad-request")

    async def test_malformed_data_does_not_corrupt_a_response(self):
        app = StreamingApp(b"y" * 1_000, 10**5)
        await self.start(app)
        reader, writer = await self.connect()
        writer.write(_REQUEST + b"\r\n")
        await reader.readuntil(b"yyy")
        writer.write(b"\x16garbage\r\n\r\n")
        rest = await reader.read()
        self.assertNotIn(b"HTTP/1.1", rest)

    async def test_limits_hold_for_each_request_of_a_connection(self):
        app = StreamingApp()
        await self.start(app, max_header_bytes=1024)
        reader, writer = await self.connect()
        for _ in range(20):
            writer.write(_REQUEST + b"a: " + b"x" * 500 + b"\r\n\r\n")
            await reader.readuntil(b"0\r\n\r\n")
        self.assertEqual(app.request_count, 20)

    # Guards against losing requests that are read while another is served.
    async def test_pipelined_requests_are_served_in_order(self):
        app = EchoingApp()
        await self.start(app)
        requests = [
            b"POST /%d HTTP/1.1\r\nhost: x\r\n" % number
            + (
                b"transfer-encoding: chunked\r\n\r\n"
                b"4\r\n\r\n\r\n\r\n0\r\na: b\r\n\r\n"
                if number % 2
                else b"content-length: 4\r\n\r\n\r\n\r\n"
            )
            for number in range(50)
        ]
        reader, writer = await self.connect()
        writer.write(b"".join(requests))
        async with asyncio.timeout(10):
            for number in range(50):
                await reader.readuntil(b"\r\n\r\n")
                expected = b"/%d:" % number + b"\r\n\r\n"
                body = await reader.readexactly(len(expected))
                self.assertEqual(body, expected)

    # Guards against bodies and trailers that are nearly all framing.
    async def test_framing_and_trailers_are_bounded(self):
        app = EchoingApp()
        await self.start(app, max_header_bytes=2000)
        head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
        for name, body in (
            ("trailers", b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 10_000),
            ("trailer", b"1\r\nx\r\n0\r\na: " + b"b" * 100_000),
            ("extension", b"1;" + b"e" * 100_000),
            ("extensions", (b"1;%s\r\nx\r\n" % (b"e" * 900)) * 200),
        ):
            # Closed with unread data, the connection is reset.
            with (
                self.subTest(name=name),
                contextlib.suppress(ConnectionResetError),
            ):
                response = await self.exchange(head + b"\r\n" + body)
                self.assertEqual(response, b"")
        self.assertEqual(app.served, [])

    async def test_stalled_caller_is_disconnected(self):
        app = StreamingApp(b"z" * 65536, 10**6)
        await self.start(app, caller_stall_timeout_s=0.2)
        _, writer = await self.connect(limit=1024)
        writer.write(_REQUEST + b"\r\n")
        async with asyncio.timeout(10):
            await app.disconnected.wait()


if __name__ == "__main__":
    unittest.main()
