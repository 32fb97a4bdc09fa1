"""Ranking of the gateways that may coordinate a key."""

from collections.abc import Iterable

from bronzeslip.membership import rendezvous
from bronzeslip.quota import peer

# Enough for keys whose first coordinators have ended without a shutdown.
_MAX_RANKED = 4


class CoordinatorRanking:
    """Ranks gateways by rendezvous hashing, so that all agree."""

    def __init__(self) -> None:
        self._peers: frozenset[peer.Peer] = frozenset()
        self._ranked: dict[str, tuple[peer.Peer, ...]] = {}

    def replace_peers(self, peers: Iterable[peer.Peer]) -> None:
        """Replaces the gateways to choose from."""
        updated = frozenset(peers)
        if updated != self._peers:
            self._peers = updated
            self._ranked.clear()

    def first(self, key: str, count: int) -> tuple[peer.Peer, ...]:
        """Returns the coordinator of a key and its fallbacks.

        Args:
            key: Key to coordinate.
            count: Number of gateways to return, four at most.
        """
        if key not in self._ranked:
            ordered = rendezvous.ranked(
                self._peers, lambda candidate: candidate.vm_id, key
            )
            self._ranked[key] = tuple(ordered[:_MAX_RANKED])
        return self._ranked[key][:count]
