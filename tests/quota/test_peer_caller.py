"""Tests of bronzeslip.quota.peer_caller."""

import unittest

from bronzeslip import ids
from bronzeslip.entry import peer_http
from bronzeslip.entry import vm_config
from bronzeslip.quota import peer
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_request
from bronzeslip.settings import entry
from tests.support import forwarding_parts
from tests.support import log_capture

_OTHER = peer.Peer(ids.VmId("other"), vm_config.SocketAddress("10.0.0.1", 1))


class _FailingClient:
    """Client whose calls fail in an unforeseen way."""

    def __init__(self):
        self.calls = 0

    async def ask(self, target, request):
        self.calls += 1
        raise ExceptionGroup("connect", [OverflowError("port")])


class PeerCallerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.own = forwarding_parts.create_peer("own")
        self.request = permit_request.PermitRequest(
            ids.EndpointId("i-1"),
            "10.0.0.2:1",
            started_unix_ms=1,
            rate_per_s=2.0,
            statement_age_s=0.0,
            reserved=0.0,
            is_fallback=False,
            sender=self.own,
        )

    # A gateway that published a port out of range failed all requests that
    # needed its permits.
    async def test_address_that_cannot_be_connected_to_is_no_reply(self):
        client = peer_http.HttpPeerClient(entry.EntrySettings())
        caller = peer_caller.PeerCaller(self.own, None, client)
        for port in (70_000, -1, 10**30):
            with self.subTest(port=port):
                address = vm_config.SocketAddress("127.0.0.1", port)
                target = peer.Peer(ids.VmId(f"other-{port}"), address)
                self.assertIsNone(await caller.ask(target, self.request))

    async def test_failing_gateway_is_not_asked_again_at_once(self):
        client = _FailingClient()
        caller = peer_caller.PeerCaller(self.own, None, client)
        with log_capture.capture() as log:
            for _ in range(3):
                self.assertIsNone(await caller.ask(_OTHER, self.request))
        self.assertEqual(client.calls, 1)
        line = log.single("permits.call_failed", gateway="other")
        self.assertIn("ExceptionGroup", line["reason"])


if __name__ == "__main__":
    unittest.main()
