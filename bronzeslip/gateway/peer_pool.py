"""Connections of a gateway to sidecars."""

import math
import time

from bronzeslip.gateway import peer as gateway_peer
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import link

_FAILING_S = 5.0


class PeerPool:
    """Connections by address, opened on first use."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._settings = settings
        self._peers: dict[str, gateway_peer.Peer] = {}
        self._lost_at_s: dict[str, float] = {}

    def peer(self, address: str) -> gateway_peer.Peer:
        """Returns a live connection to an address."""
        known = self._peers.get(address)
        if known is None or known.connection.closed:
            if known is not None and known.lost_at_s is not None:
                self._lost_at_s[address] = known.lost_at_s
            known = gateway_peer.Peer(address, self._settings)
            self._peers[address] = known
        return known

    def is_failing(self, address: str) -> bool:
        """Whether an address was lost lately and not heard from since."""
        known = self._peers.get(address)
        if known is None:
            return False
        if known.connection.incarnation_id and not known.connection.closed:
            return False
        lost_at_s = known.lost_at_s or self._lost_at_s.get(address)
        if lost_at_s is None:
            return False
        return time.monotonic() - lost_at_s < _FAILING_S

    def renew(self, address: str) -> None:
        """Ends a connection that can't be trusted; the next use opens one."""
        known = self._peers.get(address)
        if known is not None:
            known.connection.abort()

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the latest load heard from an address."""
        known = self._peers.get(address)
        return known.connection.load if known else link.EndpointLoad()

    def load_age_s(self, address: str) -> float:
        """Returns the time since it was heard; infinite if never."""
        known = self._peers.get(address)
        if known is None:
            return math.inf
        return time.monotonic() - known.connection.load_received_at_s

    def ask_for_load(self, address: str) -> None:
        """Opens a connection, over which loads come, to a new address."""
        if address not in self._peers:
            self.peer(address)

    async def close(self) -> None:
        """Ends every connection."""
        for known in self._peers.values():
            await known.connection.close()
