"""Tests of bronzeslip.entry.placements_api and peer_http over loopback."""

import unittest

import httpx
import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.entry import peer_http
from bronzeslip.entry import placements_api
from bronzeslip.entry import vm_config
from bronzeslip.http import internal_app
from bronzeslip.http import server
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.placement import placement_verdict
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.settings import http
from tests.support import forwarding_parts
from tests.support import raw_server

_REPLY = placement_reply.PlacementReply(
    placement_verdict.PlacementVerdict.PLACED,
    ids.EndpointId("i-1"),
    7,
    0.0,
    0.5,
)
_ASK = placement_ask.PlacementAsk(
    service=ids.ServiceName("pool"),
    shard_index=0,
    shard_count=1,
    request_id=ids.RequestId("q1"),
    prompt_tokens=10,
    expected_tokens=20,
    output_tokens=10,
    is_long=False,
    priority=0,
    workspace=None,
    remaining_s=5.0,
    objective_left_s=-1.0,
    permitted_regions=frozenset({ids.RegionName("a")}),
    excluded=frozenset({ids.EndpointId("i-2")}),
)
_REQUEST = placement_request.PlacementRequest(
    _ASK, (ids.RequestId("q0"),), forwarding_parts.create_peer("front-1")
)


class _Coordinator:
    def __init__(self):
        self.requests = []

    def decide(self, request):
        self.requests.append(request)
        return _REPLY


class PlacementsApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = peer_http.HttpPeerClient(forwarding_parts.SETTINGS)
        self.coordinator = _Coordinator()
        app: litestar.Litestar = internal_app.create(
            placements_api.handler(self.coordinator)
        )
        peer_server = server.HttpServer(app, http.HttpSettings())
        peer_server.start()
        self.addAsyncCleanup(peer_server.abort)
        self.port = peer_server.port

    async def test_request_and_reply_arrive_unchanged(self):
        reply = await self.client.place(_peer(self.port), _REQUEST)
        self.assertEqual(reply, _REPLY)
        self.assertEqual(self.coordinator.requests, [_REQUEST])

    # Guards against numbers that end the coordinator's forecast with an error.
    async def test_invalid_requests_are_rejected(self):
        valid = msgspec.to_builtins(_REQUEST)
        for changes in (
            {"shard_count": 0},
            {"shard_index": -1},
            {"prompt_tokens": -1},
            {"expected_tokens": 2**60},
            {"remaining_s": 1e300},
            {"waited_s": -1},
            {"excluded": "i-2"},
        ):
            with self.subTest(**changes):
                body = {**valid, "ask": {**valid["ask"], **changes}}
                await self._assert_rejected(body)
        await self._assert_rejected({**valid, "ended": ["q"] * 65})

    async def _assert_rejected(self, body):
        async with httpx.AsyncClient() as client:
            response = await client.post(
                f"http://127.0.0.1:{self.port}/placements", json=body
            )
        self.assertEqual(response.status_code, httpx.codes.BAD_REQUEST)
        self.assertEqual(self.coordinator.requests, [])

    async def test_invalid_replies_are_errors(self):
        for body, status in (
            (b"", b"200 OK"),
            (b'{"verdict":"maybe"}', b"200 OK"),
            (b'{"verdict":"placed","started_unix_ms":-1}', b"200 OK"),
            (b'{"verdict":"deferred","retry_after_s":1e308}', b"200 OK"),
            (b'{"verdict":"refused","retry_after_s":-1}', b"200 OK"),
            # Gateways of older versions have no placements.
            (b"", b"404 Not Found"),
        ):
            with self.subTest(body=body, status=status):
                scripted = raw_server.RawServer(
                    raw_server.create_response(body, status)
                )
                port = await scripted.start()
                self.addAsyncCleanup(scripted.stop)
                with self.assertRaises(errors.PeerUnavailableError):
                    await self.client.place(_peer(port), _REQUEST)


def _peer(port):
    return peer.Peer(
        ids.VmId("front-2"), vm_config.SocketAddress("127.0.0.1", port)
    )


if __name__ == "__main__":
    unittest.main()
