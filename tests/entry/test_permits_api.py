"""Tests of bronzeslip.entry.permits_api and peer_http over loopback."""

import asyncio
import gzip
import time
import tracemalloc
import unittest

import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import peer_http
from bronzeslip.entry import permits_api
from bronzeslip.entry import vm_config
from bronzeslip.http import server
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_request
from bronzeslip.quota import permit_verdict
from bronzeslip.settings import entry
from bronzeslip.settings import http
from tests.support import forwarding_parts
from tests.support import nested_json
from tests.support import raw_server

_SETTINGS = entry.EntrySettings(peer_timeout_s=0.3)


class PermitsApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = peer_http.HttpPeerClient(_SETTINGS)
        self.endpoint = forwarding_parts.create_endpoint("i-1")
        self.directory = directory.EndpointDirectory(_SETTINGS)
        self.directory.replace_all([self.endpoint])

    def _request(self, rate_per_s=2.0, **changes):
        request = permit_request.PermitRequest(
            self.endpoint.endpoint_id,
            self.endpoint.address,
            self.endpoint.started_unix_ms,
            rate_per_s,
            statement_age_s=0.0,
            reserved=0.0,
            is_fallback=False,
            sender=_peer(1),
        )
        return msgspec.structs.replace(request, **changes)

    async def _start_coordinator(self):
        coordinator = permit_coordinator.PermitCoordinator(
            self.directory, forwarding_parts.create_single_gateway()
        )
        app = litestar.Litestar(
            [permits_api.handler(coordinator)], openapi_config=None
        )
        peer_server = server.HttpServer(app, http.HttpSettings())
        peer_server.start()
        self.addAsyncCleanup(peer_server.abort)
        return _peer(peer_server.port)

    async def _start_script(self, script):
        scripted = raw_server.RawServer(script)
        port = await scripted.start()
        self.addAsyncCleanup(scripted.stop)
        return _peer(port)

    async def test_coordinator_denies_and_grants(self):
        target = await self._start_coordinator()
        denied = await self.client.ask(target, self._request())
        self.assertIs(denied.verdict, permit_verdict.PermitVerdict.DENIED)
        self.assertEqual(denied.rate_per_s, 2.0)
        await asyncio.sleep(denied.retry_after_s)
        granted = await self.client.ask(target, self._request())
        self.assertIs(granted.verdict, permit_verdict.PermitVerdict.GRANTED)

    async def test_endpoint_without_a_limit_needs_no_permit(self):
        target = await self._start_coordinator()
        for _ in range(5):
            reply = await self.client.ask(target, self._request(None))
            self.assertIs(reply.verdict, permit_verdict.PermitVerdict.GRANTED)
            self.assertIsNone(reply.rate_per_s)

    async def test_coordinator_does_not_decide_on_unknown_endpoints(self):
        target = await self._start_coordinator()
        for changes in (
            {"endpoint_id": ids.EndpointId("i-9")},
            {"address": "10.0.0.9:1"},
            {"started_unix_ms": 7},
        ):
            with self.subTest(**changes):
                reply = await self.client.ask(target, self._request(**changes))
                self.assertIs(
                    reply.verdict, permit_verdict.PermitVerdict.NOT_RESPONSIBLE
                )

    async def test_silent_gateway_is_given_up_in_time(self):
        target = await self._start_script(raw_server.NO_RESPONSE)
        started_s = time.monotonic()
        with self.assertRaises(errors.PeerUnavailableError):
            await self.client.ask(target, self._request())
        self.assertLess(time.monotonic() - started_s, 1.0)

    async def test_invalid_replies_are_errors(self):
        for body, status in (
            (b"", b"200 OK"),
            (b"{}", b"200 OK"),
            (b'{"verdict":"maybe"}', b"200 OK"),
            (b'{"verdict":"granted","rate_per_s":1e308}', b"200 OK"),
            (b'{"verdict":"denied","retry_after_s":1e308}', b"200 OK"),
            (b'{"verdict":"granted"}', b"404 Not Found"),
            (
                b'{"verdict":"granted","x":%s}' % bytes(nested_json.OBJECT),
                b"200 OK",
            ),
            (b'{"verdict":"granted","rate_per_s":1e300}', b"200 OK"),
            (b'{"verdict":"denied","retry_after_s":-1}', b"200 OK"),
        ):
            with self.subTest(body=body, status=status):
                target = await self._start_script(
                    raw_server.create_response(body, status)
                )
                with self.assertRaises(errors.PeerUnavailableError):
                    await self.client.ask(target, self._request())

    # Guards against a reply that ends the caller's request with an exception.
    async def test_reply_that_is_nested_too_deeply_is_an_error(self):
        body = b'{"verdict":"granted","x":%s}' % bytes(nested_json.OBJECT)
        target = await self._start_script(
            raw_server.create_response(body, b"200 OK")
        )
        with self.assertRaises(errors.PeerUnavailableError):
            await self.client.ask(target, self._request())

    # Guards against a small reply that takes all memory.
    async def test_compressed_reply_is_not_decompressed(self):
        body = gzip.compress(b" " * 100_000_000)
        target = await self._start_script(
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(errors.PeerUnavailableError):
            await self.client.ask(target, self._request())
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 10_000_000)

    async def test_gateway_that_is_not_there_is_an_error(self):
        with self.assertRaises(errors.PeerUnavailableError):
            await self.client.ask(_peer(1), self._request())

    async def test_gateway_with_an_unusable_address_is_an_error(self):
        address = vm_config.SocketAddress("127.0.0.1\r\n", 1)
        with self.assertRaises(errors.PeerUnavailableError):
            await self.client.ask(
                peer.Peer(ids.VmId("front-2"), address), self._request()
            )


def _peer(port):
    return peer.Peer(
        ids.VmId("front-2"), vm_config.SocketAddress("127.0.0.1", port)
    )


if __name__ == "__main__":
    unittest.main()
