"""Tests of responses that never end, over loopback.

An engine in trouble may send bytes that are no answer until the gateway closes
the connection: interim heads, headers, chunks or a body, fast or one at a time.
"""

import asyncio
import resource
import time
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import forwarding_parts

_MAX_BODY_BYTES = 100_000
# Memory that one endless response may cost the gateway.
_MAX_GROWTH_KB = 32_768
_CALL_TIMEOUT_S = 3.0
# Longest pause between the events of a stream that is on time.
_MAX_PAUSE_S = 0.18
_HEAD = b"HTTP/1.1 200 OK\r\nBronzeslip-Attempt-Id: q1\r\n"
_NOT_RUN_HEAD = (
    b"HTTP/1.1 503 Busy\r\nBronzeslip-Attempt-Id: q1\r\n"
    b"Bronzeslip-Not-Executed: 1\r\n"
)
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_FILLER = b"x" * 60_000
_CHUNK = b"ea60\r\n" + _FILLER + b"\r\n"

# First bytes, then bytes that are repeated without end.
_HEADS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "headers": (_HEAD, b"X-Filler: " + _FILLER + b"\r\n"),
    "one header": (_HEAD + b"X-Filler: ", _FILLER),
    "bytes that are no head": (b"", _FILLER),
}
_BODIES = {
    "body without length": (_HEAD + b"\r\n", _FILLER),
    "body of gigabytes": (
        _HEAD + b"Content-Length: 9000000000\r\n\r\n",
        _FILLER,
    ),
    "chunks": (_HEAD + _CHUNKED, _CHUNK),
    "chunk size": (_HEAD + _CHUNKED, b"0" * 60_000),
    "trailers": (
        _HEAD + _CHUNKED + b"0\r\n",
        b"X-Filler: " + _FILLER + b"\r\n",
    ),
}
_SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000
_SLOW = {
    "slow interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "slow head": (_HEAD + b"X-Filler: ", b"x"),
    "slow body": (_HEAD + b"\r\n", b"x"),
}


class _EndlessServer:
    """Responds to each request with bytes that never end."""

    def __init__(self):
        self.first = b""
        self.repeated = b""
        self.pause_s = 0.0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            writer.close()


class _PauseWatch:
    """Measures for how long the event loop gives other tasks no turn.

    Attributes:
        longest_s: Longest time without a turn, in seconds.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0)
            self.longest_s = max(self.longest_s, time.monotonic() - before_s)


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = _EndlessServer()
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=self.port
        )

    def _play(self, script, pause_s=0.0):
        self.server.first, self.server.repeated = script
        self.server.pause_s = pause_s

    async def _assert_bounded(self, call, error=endpoint_errors.EndpointError):
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started_s = time.monotonic()
        with self.assertRaises(error):
            await asyncio.wait_for(call(), 2 * _CALL_TIMEOUT_S)
        self.assertLess(time.monotonic() - started_s, _CALL_TIMEOUT_S)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess(after_kb - before_kb, _MAX_GROWTH_KB)

    async def _forward(self):
        outgoing = dispatch.Dispatch(
            request=forwarding_parts.create_request(),
            endpoint=self.endpoint,
            remaining_s=2.0,
        )
        return await buffered_response.read(
            await self.client.send(outgoing),
            _MAX_BODY_BYTES,
            forwarding_parts.create_response_memory(),
        )

    def _control_calls(self):
        handle = ids.HandleId("h1")
        return {
            "report": lambda: self.client.report(self.endpoint),
            "copy": lambda: self.client.copy_run(
                self.endpoint, ids.RequestId("q1"), self.endpoint, False, 0.5
            ),
            "drop": lambda: self.client.drop_copy(self.endpoint, handle),
        }

    async def test_forwarded_requests(self):
        for name, script in {**_HEADS, **_BODIES}.items():
            with self.subTest(name):
                self._play(script)
                await self._assert_bounded(self._forward)

    async def test_control_calls(self):
        for call_name, call in self._control_calls().items():
            for name, script in {**_HEADS, **_BODIES}.items():
                with self.subTest(f"{call_name}: {name}"):
                    self._play(script)
                    await self._assert_bounded(call)

    async def test_slow_control_calls(self):
        for call_name, call in self._control_calls().items():
            for name, script in _SLOW.items():
                with self.subTest(f"{call_name}: {name}"):
                    self._play(script, pause_s=0.05)
                    await self._assert_bounded(call)

    # Guards against holding up all requests while the chunks that one read has
    # brought are processed.
    async def test_small_chunks_leave_turns_to_other_tasks(self):
        calls = {**self._control_calls(), "forward": self._forward}
        for name, call in calls.items():
            with self.subTest(name):
                self._play((_HEAD + _CHUNKED, _SMALL_CHUNKS))
                watch = _PauseWatch()
                task = asyncio.create_task(watch.run())
                await self._assert_bounded(call)
                task.cancel()
                self.assertLess(watch.longest_s, _MAX_PAUSE_S)

    async def test_health_checks(self):
        def check():
            return self.client.check_presence(self.endpoint, "/health")

        for name, script in _HEADS.items():
            with self.subTest(name):
                self._play(script)
                await self._assert_bounded(check)
        self._play(_SLOW["slow head"], pause_s=0.05)
        await self._assert_bounded(check)

    async def test_body_of_a_refusal(self):
        for pause_s, repeated in ((0.0, _FILLER), (0.05, b"x")):
            self._play((_NOT_RUN_HEAD + b"\r\n", repeated), pause_s)
            outgoing = dispatch.Dispatch(
                request=forwarding_parts.create_request(),
                endpoint=self.endpoint,
                remaining_s=2.0,
            )
            response = await self.client.send(outgoing)
            await asyncio.wait_for(response.close(), 1.0)

    async def test_calls_to_the_store(self):
        client = store_client.StoreClient(
            vm_config.SocketAddress("127.0.0.1", self.port),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
        )
        self.addAsyncCleanup(client.close)
        for name, script in {**_HEADS, **_BODIES}.items():
            with self.subTest(name):
                self._play(script)
                await self._assert_bounded(
                    lambda: client.list_objects("things/"),
                    errors.PlatformError,
                )
        for name, script in _SLOW.items():
            with self.subTest(name):
                self._play(script, pause_s=0.05)
                await self._assert_bounded(
                    lambda: client.list_objects("things/"),
                    errors.PlatformError,
                )

    async def test_report_beyond_its_length_is_used_and_the_rest_dropped(self):
        body = msgspec.json.encode(
            {"waiting": 0, "running": 1, "kv_used": 2, "kv_total": 3}
        )
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self._play((_HEAD + length + body, _FILLER))
        report = await self.client.report(self.endpoint)
        self.assertEqual(report.used_tokens, 2)


if __name__ == "__main__":
    unittest.main()
