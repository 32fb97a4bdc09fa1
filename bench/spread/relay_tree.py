"""Distribution model of the relay tree.

It uses the prefix states, the subscriptions and the relay selection of the
product.
"""

import collections
from collections.abc import Callable
import random

from bench.spread import event_queue
from bench.spread import figures
from bench.spread import fleet
from bench.spread import patch_events
from bench.spread import traffic
from bronzeslip.configuration import manifest
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from bronzeslip.spread import hub
from bronzeslip.spread import hub_feed
from bronzeslip.spread import packing
from bronzeslip.spread import subscription
from bronzeslip.spread import upstream_selector
from bronzeslip.store import objects
from bronzeslip.transport import codec
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import spread as frames

_WATCHED_PREFIX_COUNT = 3
_WATCH_WAIT_S = 5.0
_VM_LIST_INTERVAL_S = 5.0
_ROUNDS_PER_FULL_SWEEP = 12
_RENEWAL_INTERVAL_S = 600.0
_HEARTBEATS_PER_FULL_REPORT = 10


class _Outbox:
    """Outbox that sends the frames of a source as soon as it is ready."""

    def __init__(
        self, queue: event_queue.EventQueue, send: Callable[[list], None]
    ) -> None:
        self._queue = queue
        self._send = send

    def mark_ready(self, _: str, take_frames: Callable[[], list]) -> None:
        """Takes and sends the frames of a source without delay."""
        self._queue.after(0.0, lambda: self._send(take_frames()))


class _Process:
    """Process with its hub and its relay."""

    def __init__(
        self, tree: "RelayTree", process_member: member.Member
    ) -> None:
        self.tree = tree
        self.member = process_member
        self.settings = gateway.GatewaySettings(
            vm_id=process_member.vm_id,
            region=process_member.region,
            failure_domain=process_member.failure_domain,
            peer_key="key",
            platform_url="http://platform",
        )
        self.hub = hub.PrefixHub((manifest.PREFIX,))
        self.state = self.hub.state(manifest.PREFIX)
        self.packer = packing.EventPacker()
        self.upstream_selector = upstream_selector.UpstreamSelector(
            self.settings, process_member.role, tree.members
        )
        self.relay: _Process | None = None
        self.frozen = False
        self.feed = hub_feed.HubFeed(self.hub, self._send_upstream)

    def follow(self, excluded: set[str]) -> None:
        """Follows the first candidate that is not excluded."""
        for address in self.upstream_selector.candidates():
            if address not in excluded:
                self.relay = self.tree.processes[address]
                self.feed.start()
                return

    def _send_upstream(self, frame: codec.Frame) -> None:
        relay = self.relay
        self.tree.deliver(self, relay, frame, lambda: relay.serve(self, frame))

    def serve(self, follower: "_Process", frame: frames.FollowPrefix) -> None:
        """Starts a subscription of a follower."""
        outbox = _Outbox(
            self.tree.queue, lambda sent: self._send_downstream(follower, sent)
        )
        subscription.Subscription(self.state, frame, outbox, self.packer)

    def _send_downstream(self, follower: "_Process", sent: list) -> None:
        if follower.relay is not self:
            return
        for frame in sent:
            self.tree.deliver(
                self,
                follower,
                frame,
                lambda frame=frame: follower.receive(frame),
            )

    def receive(self, frame: codec.Frame) -> None:
        """Applies a frame after the processing delay."""
        self.tree.queue.after(
            fleet.PROCESSING_DELAY_S, lambda: self._apply(frame)
        )

    def _apply(self, frame: codec.Frame) -> None:
        self.feed.apply(frame)
        self.tree.record_progress(self)

    def receive_batch(self, batch: objects.WatchBatch) -> None:
        """Applies a batch of platform events."""
        if self.frozen:
            return
        self.state.advance(self.state.version, batch.version, batch.events)
        self.tree.record_progress(self)


class RelayTree:
    """Fleet that distributes the configuration through relays."""

    def __init__(self, topology: fleet.FleetTopology) -> None:
        self.queue = event_queue.EventQueue()
        self.members = directory.MemberDirectory()
        self.traffic = traffic.Traffic()
        self.topology = topology
        fleet_members = fleet.members_of(topology)
        for fleet_member in fleet_members:
            if fleet_member.role is member.MemberRole.GATEWAY:
                self.members.put(fleet_member)
        self.processes = {
            fleet_member.vm_id: _Process(self, fleet_member)
            for fleet_member in fleet_members
        }
        self.watchers = [
            process
            for process in self.processes.values()
            if process.upstream_selector.is_watcher()
        ]
        self._pending: set[str] = set()
        self._target_version = 0

    def start(self, version: int) -> None:
        """Gives every process an empty state and connects it to its relay."""
        for process in self.processes.values():
            process.state.replace(objects.ObjectList(version, ()))
        for process in self.processes.values():
            if not process.upstream_selector.is_watcher():
                process.follow(set())
        self.queue.run(lambda: False)

    def deliver(
        self,
        sender: _Process,
        receiver: _Process,
        frame: codec.Frame,
        arrive: Callable[[], None],
    ) -> None:
        """Delivers a frame unless the sender or the receiver is frozen."""
        if sender.frozen:
            return
        size_bytes = len(codec.encode([frame]))
        self.traffic.count(sender.member, receiver.member, size_bytes)

        def on_arrival() -> None:
            if not receiver.frozen:
                arrive()

        self.queue.after(
            fleet.delay_s(sender.member, receiver.member), on_arrival
        )

    def record_progress(self, process: _Process) -> None:
        """Removes a process that has the target version from those pending."""
        if process.state.version >= self._target_version:
            self._pending.discard(process.member.vm_id)

    def patch(self, batch: objects.WatchBatch) -> float:
        """Distributes a patch and returns the convergence time, in seconds."""
        start_s = self.queue.now_s
        self._target_version = batch.version
        self._pending = {
            process.member.vm_id
            for process in self.processes.values()
            if not process.frozen
        }
        for watcher in self.watchers:
            self.queue.after(
                fleet.PLATFORM_DELAY_S + fleet.PROCESSING_DELAY_S,
                lambda watcher=watcher: watcher.receive_batch(batch),
            )
        self.queue.run(lambda: not self._pending)
        convergence_s = self.queue.now_s - start_s
        self.queue.run(lambda: False)
        return convergence_s

    def freeze_relays(self, rng: random.Random) -> None:
        """Freezes one watcher of each failure domain.

        Its followers select another relay after the silence timeout.
        """
        domains = collections.defaultdict(list)
        for watcher in self.watchers:
            domains[watcher.member.failure_domain].append(watcher)
        frozen = {group[0].member.vm_id for group in domains.values()}
        for vm_id in frozen:
            self.processes[vm_id].frozen = True
        for process in self.processes.values():
            if process.relay is not None and process.relay.frozen:
                silence_s = process.settings.relay_silence_timeout_s
                since_heartbeat_s = rng.uniform(
                    0, process.settings.relay_heartbeat_interval_s
                )
                self.queue.after(
                    silence_s - since_heartbeat_s,
                    lambda process=process: process.follow(frozen),
                )


def measure(
    topology: fleet.FleetTopology,
    batches: list[objects.WatchBatch],
    freeze: bool,
) -> figures.Figures:
    """Distributes the patches and returns the figures.

    With freeze, the relays are frozen before the last patch, and the
    convergence time is that of this patch.
    """
    tree = RelayTree(topology)
    tree.start(batches[0].version - 100)
    method = "relays, one of each domain frozen" if freeze else "relays"
    result = figures.Figures(method, topology.process_count)
    tree.traffic = traffic.Traffic()
    times_s = [tree.patch(batch) for batch in batches[:-1]]
    patches = len(times_s)
    _fill_figures(result, tree, patches)
    if freeze:
        tree.freeze_relays(random.Random(1))
        times_s = [tree.patch(batches[-1])]
    result.convergence_s = max(times_s)
    return result


def _fill_figures(
    result: figures.Figures, tree: RelayTree, patches: int
) -> None:
    traffic_counts, topology = tree.traffic, tree.topology
    result.messages = traffic_counts.messages / patches
    result.region_messages = traffic_counts.region_messages / patches
    result.region_bytes = traffic_counts.region_bytes / patches
    heartbeat_bytes_per_s = _heartbeat_bytes_per_s(tree)
    patch_rate = patch_events.PATCHES_PER_S / patches
    total_bytes_per_s = collections.Counter(heartbeat_bytes_per_s)
    for vm_id, size_bytes in traffic_counts.bytes_by_vm.items():
        total_bytes_per_s[vm_id] += size_bytes * patch_rate
    result.process_bytes_per_s = (
        sum(total_bytes_per_s.values()) / topology.process_count
    )
    gateways = [
        gateway_member.vm_id for gateway_member in tree.members.gateways()
    ]
    result.gateway_bytes_per_s = sum(
        total_bytes_per_s[vm_id] for vm_id in gateways
    ) / len(gateways)
    result.max_bytes_per_s = max(total_bytes_per_s.values(), default=0.0)
    vm_list_readers = (
        topology.gateways / _ROUNDS_PER_FULL_SWEEP + topology.domains
    )
    result.platform_calls_per_s = (
        len(tree.watchers) * _WATCHED_PREFIX_COUNT / _WATCH_WAIT_S
        + vm_list_readers / _VM_LIST_INTERVAL_S
        + topology.process_count / _RENEWAL_INTERVAL_S
    )


def _heartbeat_bytes_per_s(tree: RelayTree) -> collections.Counter:
    """Returns the heartbeat bytes per second of each process."""
    position = frames.PrefixPosition(manifest.PREFIX, 100_000, 100_000)
    brief_heartbeat = frames.RelayHeartbeat(1.5)
    full_heartbeat = frames.RelayHeartbeat(
        1.5, (position,) * _WATCHED_PREFIX_COUNT
    )
    downstream_bytes = (
        fleet.HEADER_BYTES
        + (
            (_HEARTBEATS_PER_FULL_REPORT - 1)
            * len(codec.encode([brief_heartbeat]))
            + len(codec.encode([full_heartbeat]))
        )
        / _HEARTBEATS_PER_FULL_REPORT
    )
    upstream_bytes = (
        len(codec.encode([link.Heartbeat("")])) + fleet.HEADER_BYTES
    )
    result: collections.Counter = collections.Counter()
    for process in tree.processes.values():
        if process.relay is None:
            continue
        settings = process.settings
        bytes_per_s = (
            downstream_bytes / settings.relay_heartbeat_interval_s
            + upstream_bytes / settings.follower_heartbeat_interval_s
        )
        result[process.member.vm_id] += bytes_per_s
        result[process.relay.member.vm_id] += bytes_per_s
    return result
