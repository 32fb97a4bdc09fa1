"""Tests of bronzeslip.platform.gateway without network."""

import pathlib
import unittest
from unittest import mock

import httpx

from bronzeslip.entry import daemon
from bronzeslip.http import internal_app
from bronzeslip.platform import gateway
from tests.support import forwarding_parts


class PeerHandlersTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an interface that is written but not served.
    async def test_explanations_are_served_at_the_peer_address(self):
        with mock.patch.object(daemon, "EntryDaemon") as created:
            gateway.create(
                forwarding_parts.SETTINGS,
                pathlib.Path("settings.json"),
                forwarding_parts.VM_CONFIG,
            )
        peer_handlers = created.call_args.args[3]
        transport = httpx.ASGITransport(internal_app.create(*peer_handlers))
        async with httpx.AsyncClient(transport=transport) as client:
            response = await client.post(
                "http://peer.example/explanations",
                json={"host": "h.example", "path": "/p/x"},
            )
        self.assertEqual(response.status_code, httpx.codes.OK)
        explained = response.json()
        self.assertEqual(explained["gateway"], "front-1")
        # No configuration has been loaded yet.
        self.assertEqual(explained["refusal"]["status"], 503)


if __name__ == "__main__":
    unittest.main()
