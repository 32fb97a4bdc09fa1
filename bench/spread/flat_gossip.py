"""Distribution model of flat gossip: random pushes and periodic comparisons."""

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
_ROUND_INTERVAL_S = 1.0
_DIGEST_BYTES = 40
_WATCHER_COUNT = 26
_PREFIX_COUNT = 3
_WATCH_WAIT_S = 5.0


class FlatGossip:
    """Fleet in which any process may exchange messages with any other."""

    def __init__(
        self, topology: fleet.FleetTopology, rng: random.Random
    ) -> None:
        self.queue = event_queue.EventQueue()
        self.traffic = traffic.Traffic()
        self._rng = rng
        self._members = fleet.members_of(topology)
        self._updated: set[str] = set()
        self._size_bytes = 0

    def patch(self, size_bytes: int) -> float:
        """Distributes a patch and returns the convergence time, in seconds."""
        start_s = self.queue.now_s
        self._updated = set()
        self._size_bytes = size_bytes
        for process_member in self._members[:_WATCHER_COUNT]:
            self.queue.after(
                fleet.PLATFORM_DELAY_S,
                lambda process_member=process_member: self._receive(
                    process_member
                ),
            )
        for process_member in self._members:
            self._schedule_round(process_member)
        self.queue.run(lambda: len(self._updated) == len(self._members))
        convergence_s = self.queue.now_s - start_s
        self.queue = event_queue.EventQueue()
        return convergence_s

    def _receive(self, process_member: member.Member) -> None:
        if process_member.vm_id in self._updated:
            return
        self._updated.add(process_member.vm_id)
        for peer in self._rng.sample(self._members, _FANOUT):
            self._send(process_member, peer)

    def _send(self, sender: member.Member, receiver: member.Member) -> None:
        self.traffic.count(sender, receiver, self._size_bytes)
        self.queue.after(
            fleet.delay_s(sender, receiver) + fleet.PROCESSING_DELAY_S,
            lambda: self._receive(receiver),
        )

    def _schedule_round(self, process_member: member.Member) -> None:
        self.queue.after(
            self._rng.uniform(0, _ROUND_INTERVAL_S),
            lambda: self._run_round(process_member),
        )

    def _run_round(self, process_member: member.Member) -> None:
        peer = self._rng.choice(self._members)
        self.traffic.count(process_member, peer, _DIGEST_BYTES)
        is_updated, peer_is_updated = (
            process_member.vm_id in self._updated,
            peer.vm_id in self._updated,
        )
        if is_updated and not peer_is_updated:
            self._send(process_member, peer)
        elif peer_is_updated and not is_updated:
            self._send(peer, process_member)
        self.queue.after(
            _ROUND_INTERVAL_S, lambda: self._run_round(process_member)
        )


def measure(
    topology: fleet.FleetTopology, batches: list[objects.WatchBatch]
) -> figures.Figures:
    """Distributes the patches and returns the figures."""
    gossip = FlatGossip(topology, random.Random(1))
    result = figures.Figures("flat gossip", topology.process_count)
    times_s = [gossip.patch(packed_bytes(batch)) for batch in batches]
    traffic_counts, patches = gossip.traffic, len(batches)
    result.messages = traffic_counts.messages / patches
    result.region_messages = traffic_counts.region_messages / patches
    result.region_bytes = traffic_counts.region_bytes / patches
    idle_bytes_per_s = (
        2 * (_DIGEST_BYTES + fleet.HEADER_BYTES) / _ROUND_INTERVAL_S
    )
    patch_rate = patch_events.PATCHES_PER_S / patches
    result.process_bytes_per_s = (
        idle_bytes_per_s
        + traffic_counts.mean_bytes(topology.process_count) * patch_rate
    )
    result.gateway_bytes_per_s = result.process_bytes_per_s
    result.max_bytes_per_s = (
        idle_bytes_per_s + traffic_counts.max_bytes() * patch_rate
    )
    watcher_count = min(_WATCHER_COUNT, topology.process_count)
    result.platform_calls_per_s = watcher_count * _PREFIX_COUNT / _WATCH_WAIT_S
    result.convergence_s = max(times_s)
    return result


def packed_bytes(batch: objects.WatchBatch) -> int:
    """Returns the size of a patch as encoded by relays, in bytes."""
    delta = change.Delta(0, batch.version, batch.events)
    return len(packing.EventPacker().pack("", delta))
