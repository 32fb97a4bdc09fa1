"""Spread by flat gossip: pushes to random peers and comparisons of numbers."""

import random

from bench.spread import event_queue
from bench.spread import figures
from bench.spread import fleet
from bench.spread import patch_events
from bench.spread import traffic
from bronzeslip.membership import member
from bronzeslip.spread import change
from bronzeslip.spread import packing
from bronzeslip.store import objects

_FANOUT = 3
_ROUND_S = 1.0
_DIGEST_BYTES = 40
_WATCHERS = 26
_PREFIXES = 3
_WATCH_WAIT_S = 5.0


class FlatGossip:
    """A fleet in which any process may talk to any other."""

    def __init__(self, shape: fleet.FleetShape, rng: random.Random) -> None:
        self.queue = event_queue.EventQueue()
        self.traffic = traffic.Traffic()
        self._rng = rng
        self._members = fleet.members_of(shape)
        self._has: set[str] = set()
        self._size_bytes = 0

    def patch(self, size_bytes: int) -> float:
        """Spreads a patch and returns the time until in force everywhere."""
        start_s = self.queue.now_s
        self._has = set()
        self._size_bytes = size_bytes
        for known in self._members[:_WATCHERS]:
            self.queue.after(
                fleet.PLATFORM_DELAY_S, lambda known=known: self._learn(known)
            )
        for known in self._members:
            self._plan_round(known)
        self.queue.run(lambda: len(self._has) == len(self._members))
        everywhere_s = self.queue.now_s - start_s
        self.queue = event_queue.EventQueue()
        return everywhere_s

    def _learn(self, known: member.Member) -> None:
        if known.vm_id in self._has:
            return
        self._has.add(known.vm_id)
        for peer in self._rng.sample(self._members, _FANOUT):
            self._send(known, peer)

    def _send(self, sender: member.Member, receiver: member.Member) -> None:
        self.traffic.count(sender, receiver, self._size_bytes)
        self.queue.after(
            fleet.delay_s(sender, receiver) + fleet.PROCESSING_DELAY_S,
            lambda: self._learn(receiver),
        )

    def _plan_round(self, known: member.Member) -> None:
        self.queue.after(
            self._rng.uniform(0, _ROUND_S), lambda: self._round(known)
        )

    def _round(self, known: member.Member) -> None:
        peer = self._rng.choice(self._members)
        self.traffic.count(known, peer, _DIGEST_BYTES)
        has, peer_has = known.vm_id in self._has, peer.vm_id in self._has
        if has and not peer_has:
            self._send(known, peer)
        elif peer_has and not has:
            self._send(peer, known)
        self.queue.after(_ROUND_S, lambda: self._round(known))


def measure(
    shape: fleet.FleetShape, batches: list[objects.WatchBatch]
) -> figures.Figures:
    """Runs patches."""
    gossip = FlatGossip(shape, random.Random(1))
    result = figures.Figures("flat gossip", shape.size)
    times_s = [gossip.patch(packed_bytes(batch)) for batch in batches]
    counted, patches = gossip.traffic, len(batches)
    result.messages = counted.messages / patches
    result.region_messages = counted.region_messages / patches
    result.region_bytes = counted.region_bytes / patches
    rest = 2 * (_DIGEST_BYTES + fleet.HEADER_BYTES) / _ROUND_S
    rate = patch_events.PATCHES_PER_S / patches
    result.node_bytes_per_s = rest + counted.mean_bytes(shape.size) * rate
    result.gateway_bytes_per_s = result.node_bytes_per_s
    result.busiest_bytes_per_s = rest + counted.most_bytes() * rate
    watchers = min(_WATCHERS, shape.size)
    result.platform_calls_per_s = watchers * _PREFIXES / _WATCH_WAIT_S
    result.everywhere_s = max(times_s)
    return result


def packed_bytes(batch: objects.WatchBatch) -> int:
    """Returns the size of a patch as relays send it."""
    delta = change.Delta(0, batch.version, batch.events)
    return len(packing.EventPacker().pack("", delta))
