"""Spread by relays: the product's states, subscriptions and choices."""

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

_PREFIXES_WATCHED = 3
_WATCH_WAIT_S = 5.0
_VM_LIST_INTERVAL_S = 5.0
_VM_LIST_TURNS = 12
_RENEWAL_INTERVAL_S = 600.0
_TURNS_TO_ALL_POSITIONS = 10


class _Outbox:
    """Sends as soon as a source is ready."""

    def __init__(
        self, queue: event_queue.EventQueue, send: Callable[[list], None]
    ) -> None:
        self._queue = queue
        self._send = send

    def mark_ready(self, _: str, take: Callable[[], list]) -> None:
        """Takes the frames of a source at once."""
        self._queue.after(0.0, lambda: self._send(take()))


class _Process:
    """One process with its hub."""

    def __init__(self, tree: "RelayTree", known: member.Member) -> None:
        self.tree = tree
        self.known = known
        self.settings = gateway.GatewaySettings(
            vm_id=known.vm_id,
            region=known.region,
            failure_domain=known.failure_domain,
            peer_key="key",
            platform_url="http://platform",
        )
        self.hub = hub.PrefixHub((manifest.PREFIX,))
        self.state = self.hub.state(manifest.PREFIX)
        self.packer = packing.EventPacker()
        self.order = upstream_selector.UpstreamSelector(
            self.settings, known.role, tree.members
        )
        self.relay: _Process | None = None
        self.frozen = False
        self.feed = hub_feed.HubFeed(self.hub, self._send_up)

    def follow(self, skip: set[str]) -> None:
        """Follows the first candidate not skipped."""
        for address in self.order.candidates():
            if address not in skip:
                self.relay = self.tree.processes[address]
                self.feed.start()
                return

    def _send_up(self, frame: codec.Frame) -> None:
        relay = self.relay
        self.tree.deliver(self, relay, frame, lambda: relay.serve(self, frame))

    def serve(self, follower: "_Process", frame: frames.FollowPrefix) -> None:
        """Starts to send to a follower."""
        outbox = _Outbox(
            self.tree.queue, lambda sent: self._send_down(follower, sent)
        )
        subscription.Subscription(self.state, frame, outbox, self.packer)

    def _send_down(self, follower: "_Process", sent: list) -> None:
        if follower.relay is not self:
            return
        for frame in sent:
            self.tree.deliver(
                self, follower, frame, lambda frame=frame: follower.take(frame)
            )

    def take(self, frame: codec.Frame) -> None:
        """Takes a frame after the time that its processing needs."""
        self.tree.queue.after(
            fleet.PROCESSING_DELAY_S, lambda: self._apply(frame)
        )

    def _apply(self, frame: codec.Frame) -> None:
        self.feed.apply(frame)
        self.tree.note(self)

    def take_batch(self, batch: objects.WatchBatch) -> None:
        """Takes events of the platform."""
        if self.frozen:
            return
        self.state.advance(self.state.version, batch.version, batch.events)
        self.tree.note(self)


class RelayTree:
    """A fleet that spreads by relays."""

    def __init__(self, shape: fleet.FleetShape) -> None:
        self.queue = event_queue.EventQueue()
        self.members = directory.MemberDirectory()
        self.traffic = traffic.Traffic()
        self.shape = shape
        known = fleet.members_of(shape)
        for found in known:
            if found.role is member.MemberRole.GATEWAY:
                self.members.put(found)
        self.processes = {found.vm_id: _Process(self, found) for found in known}
        self.watchers = [
            found
            for found in self.processes.values()
            if found.order.is_watcher()
        ]
        self._missing: set[str] = set()
        self._wanted = 0

    def start(self, version: int) -> None:
        """Gives every process an empty state and its relay."""
        for process in self.processes.values():
            process.state.replace(objects.ObjectList(version, ()))
        for process in self.processes.values():
            if not process.order.is_watcher():
                process.follow(set())
        self.queue.run(lambda: False)

    def deliver(
        self,
        sender: _Process,
        receiver: _Process,
        frame: codec.Frame,
        arrive: Callable[[], None],
    ) -> None:
        """Carries a frame, unless an end of the link is frozen."""
        if sender.frozen:
            return
        size_bytes = len(codec.encode([frame]))
        self.traffic.count(sender.known, receiver.known, size_bytes)

        def on_arrival() -> None:
            if not receiver.frozen:
                arrive()

        self.queue.after(
            fleet.delay_s(sender.known, receiver.known), on_arrival
        )

    def note(self, process: _Process) -> None:
        """Notes how far a process has come."""
        if process.state.version >= self._wanted:
            self._missing.discard(process.known.vm_id)

    def patch(self, batch: objects.WatchBatch) -> float:
        """Spreads a patch and returns the time until in force everywhere."""
        start_s = self.queue.now_s
        self._wanted = batch.version
        self._missing = {
            found.known.vm_id
            for found in self.processes.values()
            if not found.frozen
        }
        for watcher in self.watchers:
            self.queue.after(
                fleet.PLATFORM_DELAY_S + fleet.PROCESSING_DELAY_S,
                lambda watcher=watcher: watcher.take_batch(batch),
            )
        self.queue.run(lambda: not self._missing)
        everywhere_s = self.queue.now_s - start_s
        self.queue.run(lambda: False)
        return everywhere_s

    def freeze_relays(self, rng: random.Random) -> None:
        """Freezes a watcher of each domain; followers notice the silence."""
        domains = collections.defaultdict(list)
        for watcher in self.watchers:
            domains[watcher.known.failure_domain].append(watcher)
        frozen = {found[0].known.vm_id for found in domains.values()}
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
    shape: fleet.FleetShape, batches: list[objects.WatchBatch], freeze: bool
) -> figures.Figures:
    """Runs patches, the last one with relays frozen if asked."""
    tree = RelayTree(shape)
    tree.start(batches[0].version - 100)
    way = "relays, one of each domain frozen" if freeze else "relays"
    result = figures.Figures(way, shape.size)
    tree.traffic = traffic.Traffic()
    times_s = [tree.patch(batch) for batch in batches[:-1]]
    patches = len(times_s)
    _fill(result, tree, patches)
    if freeze:
        tree.freeze_relays(random.Random(1))
        times_s = [tree.patch(batches[-1])]
    result.everywhere_s = max(times_s)
    return result


def _fill(result: figures.Figures, tree: RelayTree, patches: int) -> None:
    counted, shape = tree.traffic, tree.shape
    result.messages = counted.messages / patches
    result.region_messages = counted.region_messages / patches
    result.region_bytes = counted.region_bytes / patches
    rest = _heartbeats(tree)
    rate = patch_events.PATCHES_PER_S / patches
    total = collections.Counter(rest)
    for vm_id, size_bytes in counted.bytes_by_vm.items():
        total[vm_id] += size_bytes * rate
    result.node_bytes_per_s = sum(total.values()) / shape.size
    gateways = [found.vm_id for found in tree.members.gateways()]
    result.gateway_bytes_per_s = sum(total[vm_id] for vm_id in gateways) / len(
        gateways
    )
    result.busiest_bytes_per_s = max(total.values(), default=0.0)
    gateway_vm_lists = shape.gateways / _VM_LIST_TURNS + shape.domains
    result.platform_calls_per_s = (
        len(tree.watchers) * _PREFIXES_WATCHED / _WATCH_WAIT_S
        + gateway_vm_lists / _VM_LIST_INTERVAL_S
        + shape.size / _RENEWAL_INTERVAL_S
    )


def _heartbeats(tree: RelayTree) -> collections.Counter:
    """Returns the bytes a second of each process for heartbeats alone."""
    position = frames.PrefixPosition(manifest.PREFIX, 100_000, 100_000)
    short = frames.RelayHeartbeat(1.5)
    full = frames.RelayHeartbeat(1.5, (position,) * _PREFIXES_WATCHED)
    down_bytes = (
        fleet.HEADER_BYTES
        + (
            (_TURNS_TO_ALL_POSITIONS - 1) * len(codec.encode([short]))
            + len(codec.encode([full]))
        )
        / _TURNS_TO_ALL_POSITIONS
    )
    up_bytes = len(codec.encode([link.Heartbeat("")])) + fleet.HEADER_BYTES
    result: collections.Counter = collections.Counter()
    for process in tree.processes.values():
        if process.relay is None:
            continue
        settings = process.settings
        per_s = (
            down_bytes / settings.relay_heartbeat_interval_s
            + up_bytes / settings.follower_heartbeat_interval_s
        )
        result[process.known.vm_id] += per_s
        result[process.relay.known.vm_id] += per_s
    return result
