"""Tests of a gateway process under clients that don't behave.

Each test keeps a number of them connected and checks that the process stays
within its limits and that an ordinary request is answered meanwhile.
"""

import asyncio
import time
import unittest

import httpx

from tests.support import misbehaving_clients
from tools import entry_configuration
from tools import entry_deployment
from tools import memory_watch
from tools import sampling

_MEMORY_MB = 120
_MAX_DESCRIPTORS = 600
_HOLD_S = 4.0
_ORDINARY_TIMEOUT_S = 15.0
_TRY_TIMEOUT_S = 5.0
_MAX_BODY_BYTES = entry_configuration.MAX_BODY_BYTES
_CALLS = entry_configuration.CALLS_PATH
_STREAMS = entry_configuration.STREAMS_PATH
_NO_ROUTE = "/none/"

_LENGTH = "Content-Length: %d\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_LARGE_LENGTH = _LENGTH % _MAX_BODY_BYTES
_ONE_BYTE_CHUNK = b"1\r\nx\r\n"
_LARGE_CHUNK = b"ea60\r\n%s\r\n" % (b"x" * 60_000)
# 1,900 fields of three bytes, which is legal: 7,600 bytes.
_MANY_FIELDS = "a:\r\n" * 1_900

_once = misbehaving_clients.once
_without_end = misbehaving_clients.without_end
_Behaviour = misbehaving_clients.Behaviour


def _head(path=_CALLS, fields="", method="POST"):
    """Returns the head of a request without its last line."""
    known = entry_configuration.headers("n-1")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in known.items()]
    return ("\r\n".join(lines) + "\r\n" + fields).encode()


def _full_head(path=_CALLS, fields="", method="POST"):
    return _head(path, fields, method) + b"\r\n"


def _request(path=_CALLS, body=b"x", method="POST"):
    return _full_head(path, _LENGTH % len(body), method) + body


class MisbehavingClientsTest(unittest.IsolatedAsyncioTestCase):
    """A process that exceeds its limits is killed, with all its requests."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment(
            has_endpoint_proxies=False,
            memory_mb=_MEMORY_MB,
            max_descriptors=_MAX_DESCRIPTORS,
        )
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways

    def setUp(self):
        # Peaks are those of a process, so each test has its own.
        self.gateway.process.kill()
        self.gateway.process.stop()
        self.gateway.start()
        self.gateway.wait_ready()
        self.watch = memory_watch.MemoryWatch(self.gateway.process.pid)

    async def hold(self, count, behaviour, port="callers"):
        """Keeps clients connected and checks the process meanwhile."""
        address = self.gateway.host, self.gateway.ports[port]
        with sampling.repeat(self.watch.sample):
            async with misbehaving_clients.crowd(address, count, behaviour):
                await asyncio.sleep(_HOLD_S)
                answered = await asyncio.to_thread(self.is_answered, port)
        self.assertIsNone(self.gateway.process.exit_status)
        figures = (
            f"{self.watch.peak_bytes / 1e6:.0f} MB "
            f"({self.watch.resident_peak_bytes / 1e6:.0f} resident), "
            f"{self.watch.peak_descriptors} descriptors, "
            f"ordinary request answered: {answered}"
        )
        print(f"{self.id().rsplit('.', 1)[-1]}: {figures}")
        self.assertTrue(answered, figures)
        self.assertLessEqual(
            self.watch.peak_bytes, _MEMORY_MB * 1_000_000, figures
        )
        self.assertLessEqual(
            self.watch.peak_descriptors, _MAX_DESCRIPTORS, figures
        )

    def is_answered(self, port):
        """Repeats ordinary requests until they are answered."""
        requests = {
            "callers": self.call,
            "readiness": lambda: self.get(port, "/ready"),
            "peers": lambda: self.get(port, "/none"),
            "metrics": lambda: self.get(port, "/metrics"),
        }
        return all(
            self.is_answered_in_time(requests[name])
            for name in ("callers", port)
        )

    def is_answered_in_time(self, request):
        due_s = time.monotonic() + _ORDINARY_TIMEOUT_S
        while time.monotonic() < due_s:
            try:
                if request().status_code in (200, 404):
                    return True
            except httpx.TransportError:
                pass
            time.sleep(0.3)
        return False

    def call(self):
        return httpx.post(
            self.gateway.url(_CALLS),
            headers=entry_configuration.headers(f"ordinary-{time.time()}"),
            content=b"x" * 1_000,
            timeout=_TRY_TIMEOUT_S,
        )

    def get(self, port, path):
        url = f"http://{self.gateway.host}:{self.gateway.ports[port]}{path}"
        return httpx.get(url, timeout=_TRY_TIMEOUT_S)

    # Guards against retaining trailers.
    async def test_endless_trailers(self):
        head = _full_head(fields=_CHUNKED) + _ONE_BYTE_CHUNK + b"0\r\n"
        trailers = b"a:b\r\n" * 240_000
        await self.hold(60, _Behaviour(_once(head + trailers)))

    # Guards against one trailer that the parser collects until its end.
    async def test_one_endless_trailer(self):
        head = _full_head(fields=_CHUNKED) + _ONE_BYTE_CHUNK + b"0\r\na: "
        await self.hold(60, _Behaviour(_once(head + b"b" * 3_000_000)))

    # Guards against fields that cost far more than their bytes.
    async def test_heads_of_many_fields_without_an_end(self):
        head = b"POST /calls/ HTTP/1.1\r\n" + _MANY_FIELDS.encode()
        await self.hold(450, _Behaviour(_once(head)))

    # Guards against the same fields of requests that are being served.
    async def test_bodies_that_stop_after_many_fields(self):
        fields = _MANY_FIELDS + _LENGTH % 1_000
        head = b"POST /calls/ HTTP/1.1\r\n%s\r\nx" % fields.encode()
        await self.hold(450, _Behaviour(_once(head)))

    # Guards against requests that are read ahead of the one being served.
    async def test_pipelined_requests(self):
        await self.hold(80, _Behaviour(_once(_request() * 4_000)))

    async def test_pipelined_requests_without_a_route(self):
        data = _request(_NO_ROUTE) * 4_000
        await self.hold(80, _Behaviour(_once(data)))

    async def test_pipelined_requests_to_the_readiness_port(self):
        data = _request("/ready", b"", "GET") * 4_000
        await self.hold(80, _Behaviour(_once(data)), "readiness")

    async def test_pipelined_requests_to_the_metrics_port(self):
        data = _request("/metrics", b"", "GET") * 4_000
        await self.hold(80, _Behaviour(_once(data)), "metrics")

    async def test_pipelined_requests_to_the_peer_port(self):
        data = _request("/permits") * 4_000
        await self.hold(80, _Behaviour(_once(data)), "peers")

    # Guards against bodies of unknown length that keep all of the memory.
    async def test_endless_bodies_of_one_byte_chunks(self):
        head = _full_head(fields=_CHUNKED)
        pieces = _without_end(head, _ONE_BYTE_CHUNK * 10_000)
        await self.hold(80, _Behaviour(pieces))

    async def test_endless_bodies_of_large_chunks(self):
        head = _full_head(fields=_CHUNKED)
        pieces = _without_end(head, _LARGE_CHUNK)
        await self.hold(300, _Behaviour(pieces))

    async def test_endless_bodies_without_a_route(self):
        head = _full_head(_NO_ROUTE, _CHUNKED)
        pieces = _without_end(head, _LARGE_CHUNK)
        await self.hold(200, _Behaviour(pieces, 0.05))

    async def test_pipelined_bodies(self):
        data = _request(body=b"discard ".ljust(60_000, b"x")) * 40
        await self.hold(80, _Behaviour(_once(data)))

    # Guards against bodies that stop a byte short of their end.
    async def test_large_bodies_that_do_not_end(self):
        for path in (_CALLS, _NO_ROUTE):
            with self.subTest(path):
                head = _full_head(path, _LARGE_LENGTH)
                data = head + b"x" * (_MAX_BODY_BYTES - 1)
                await self.hold(100, _Behaviour(_once(data)))

    async def test_large_bodies_to_the_readiness_port(self):
        data = _full_head("/ready", _LARGE_LENGTH) + b"x" * _MAX_BODY_BYTES
        await self.hold(100, _Behaviour(_once(data[:-1])), "readiness")

    async def test_large_bodies_to_the_peer_port(self):
        head = _full_head(
            "/permits", _LARGE_LENGTH + "Content-Type: application/json\r\n"
        )
        data = head + b"[" * (_MAX_BODY_BYTES - 1)
        await self.hold(100, _Behaviour(_once(data)), "peers")

    # Guards against many small bodies that do not end.
    async def test_small_bodies_that_do_not_end(self):
        data = _full_head(fields=_LENGTH % 16_000) + b"x" * 15_999
        await self.hold(450, _Behaviour(_once(data)))

    # Guards against reading bodies that have been refused by their length.
    async def test_bodies_far_over_the_limit(self):
        head = _full_head(fields=_LENGTH % 1_000_000_000)
        pieces = _without_end(head, b"x" * 60_000)
        await self.hold(80, _Behaviour(pieces))

    # Guards against framing that is no data.
    async def test_long_chunk_extensions(self):
        head = _full_head(fields=_CHUNKED) + b"1;"
        pieces = _without_end(head, b"e" * 60_000)
        await self.hold(80, _Behaviour(pieces))

    # Guards against connections that take all descriptors.
    async def test_connections_with_half_a_head(self):
        await self.hold(900, _Behaviour(_once(_head()[:40])))

    async def test_connections_to_the_readiness_port(self):
        await self.hold(900, _Behaviour(_once(b"G")), "readiness")

    async def test_connections_to_the_metrics_port(self):
        await self.hold(900, _Behaviour(_once(b"G")), "metrics")

    async def test_connections_to_the_peer_port(self):
        await self.hold(900, _Behaviour(_once(b"P")), "peers")

    # Guards against clients that send too slowly to ever be idle.
    async def test_clients_that_send_slowly(self):
        head = _full_head(fields=_LARGE_LENGTH)
        await self.hold(450, _Behaviour(_without_end(head, b"x"), 1.0))

    # Guards against responses that are held for clients that hardly read.
    async def test_clients_that_read_slowly(self):
        data = _request(body=b"large 1000000")
        await self.hold(200, _Behaviour(_once(data), read_bytes_per_s=1))

    async def test_streams_that_are_read_slowly(self):
        data = _request(_STREAMS, b"many-events")
        await self.hold(100, _Behaviour(_once(data), read_bytes_per_s=1))


if __name__ == "__main__":
    unittest.main()
