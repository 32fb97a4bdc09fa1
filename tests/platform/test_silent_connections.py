"""Tests that connections which go silent are noticed, over loopback.

A firewall may drop the state of a connection: neither side learns of it, and
what is sent on it is lost. A change must be noticed nevertheless.
"""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import peer_http
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import dispatch
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import store_client
from bronzeslip.quota import peer
from bronzeslip.store import errors
from bronzeslip.store import follower
from tests.support import forwarding_parts
from tests.support import polling
from tests.support import probing_sockets

_PREFIXES = ("config/", "servers/", "bronzeslip-suspects/")
_WATCH_S = 25.0
_PAGE = b'{"items":[],"truncated":false,"as_of":7}'


class _SilentServer:
    """Answers list calls and never answers any other request.

    Attributes:
        watches: Connections with a watch that waits.
        list_count: Number of list calls.
    """

    def __init__(self):
        self.watches = []
        self.list_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /objects") and b"watch=" not in head:
                    self.list_count += 1
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                        b"Content-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n%s" % (len(_PAGE), _PAGE)
                    )
                    continue
                self.watches.append(writer)
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = _SilentServer()
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.addAsyncCleanup(self._cancel, task)

    async def _cancel(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _wait_for_probes(self):
        def is_probed():
            probed = probing_sockets.are_probed(self.port)
            return bool(probed) and all(probed)

        await polling.wait_until(is_probed)

    def _create_store_client(self):
        client = store_client.StoreClient(
            vm_config.SocketAddress("127.0.0.1", self.port),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
        )
        self.addAsyncCleanup(client.close)
        return client

    # Guards against serving by an old configuration, or old suspects, for as
    # long as a watch waits on a connection that has gone silent.
    async def test_each_watch_probes_its_connection(self):
        store = self._create_store_client()
        for prefix in _PREFIXES:
            listing = await store.list_objects(prefix)
            self._start(store.watch(prefix, listing.version, _WATCH_S))
        await polling.wait_until(
            lambda: len(self.server.watches) == len(_PREFIXES)
        )
        await self._wait_for_probes()

    # Guards against waiting for the next watch after probes have failed.
    async def test_watch_whose_connection_ends_lists_again(self):
        async def ignore(_):
            pass

        following = follower.PrefixFollower(
            self._create_store_client(),
            "config/",
            ignore,
            ignore,
            timing=follower.FollowTiming(_WATCH_S, 0.01, 0.02),
        )
        self._start(following.run())
        await polling.wait_until(lambda: self.server.watches)
        self.server.watches[0].transport.abort()
        await polling.wait_until(lambda: self.server.list_count == 2)

    # Guards against asking another gateway on a connection that is silent.
    async def test_call_to_a_gateway_probes_its_connection(self):
        client = peer_http.HttpPeerClient(forwarding_parts.SETTINGS)
        target = peer.Peer(
            ids.VmId("front-2"),
            vm_config.SocketAddress("127.0.0.1", self.port),
        )
        request = forwarding_parts.create_permit_request()
        self._start(client.ask(target, request))
        await self._wait_for_probes()

    # Guards against waiting for an endpoint whose connection is silent.
    async def test_request_and_report_probe_their_connections(self):
        client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(client.close)
        target = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=self.port
        )
        outgoing = dispatch.Dispatch(
            request=forwarding_parts.create_request(),
            endpoint=target,
            remaining_s=2.0,
        )
        self._start(client.send(outgoing))
        self._start(client.report(target))
        await polling.wait_until(lambda: len(self.server.watches) == 2)
        await self._wait_for_probes()

    async def test_watch_that_is_not_answered_ends(self):
        store = self._create_store_client()
        listing = await store.list_objects("config/")
        with self.assertRaises(errors.PlatformUnavailableError):
            await store.watch("config/", listing.version, 0.1)


if __name__ == "__main__":
    unittest.main()
