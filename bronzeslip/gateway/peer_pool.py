"""Pool of connections of a gateway to sidecars."""

import math
import time

from bronzeslip.gateway import peer as gateway_peer
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import link

_FAILING_WINDOW_S = 5.0


class PeerPool:
    """Connections by address, each opened on first use."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._settings = settings
        self._peers: dict[str, gateway_peer.Peer] = {}
        self._lost_at_s: dict[str, float] = {}

    def get(self, address: str) -> gateway_peer.Peer:
        """Returns an open connection to an address."""
        peer = self._peers.get(address)
        if peer is None or peer.connection.closed:
            if peer is not None and peer.lost_at_s is not None:
                self._lost_at_s[address] = peer.lost_at_s
            self._drop_closed()
            peer = gateway_peer.Peer(address, self._settings)
            self._peers[address] = peer
        return peer

    def is_failing(self, address: str) -> bool:
        """Returns whether a connection was lost recently and not restored."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        if peer.connection.incarnation_id and not peer.connection.closed:
            return False
        lost_at_s = peer.lost_at_s or self._lost_at_s.get(address)
        if lost_at_s is None:
            return False
        return time.monotonic() - lost_at_s < _FAILING_WINDOW_S

    def abort(self, address: str) -> None:
        """Aborts the connection to an address; the next use opens a new one."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.connection.abort()

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the load last reported from an address."""
        peer = self._peers.get(address)
        return peer.connection.load if peer else link.EndpointLoad()

    def load_age_s(self, address: str) -> float:
        """Returns the age of the last reported load in seconds, or infinity."""
        peer = self._peers.get(address)
        if peer is None:
            return math.inf
        return time.monotonic() - peer.connection.load_received_at_s

    def request_load(self, address: str) -> None:
        """Connects to an address, if it is new, so that it reports its load."""
        if address not in self._peers:
            self.get(address)

    def _drop_closed(self) -> None:
        """Drops connections and losses that no longer matter.

        Addresses of replaced endpoints are not used again.
        """
        cutoff_s = time.monotonic() - _FAILING_WINDOW_S
        self._peers = {
            address: peer
            for address, peer in self._peers.items()
            if not peer.connection.closed
            or (peer.lost_at_s is not None and peer.lost_at_s > cutoff_s)
        }
        self._lost_at_s = {
            address: lost_at_s
            for address, lost_at_s in self._lost_at_s.items()
            if lost_at_s > cutoff_s
        }

    async def close(self) -> None:
        """Closes all connections."""
        for peer in self._peers.values():
            await peer.connection.close()
