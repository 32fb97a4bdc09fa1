"""Subscription of one follower to one prefix."""

from bronzeslip.spread import change
from bronzeslip.spread import packing
from bronzeslip.spread import prefix_state
from bronzeslip.transport import codec
from bronzeslip.transport import outbox
from bronzeslip.transport.frames import spread as frames

_SOURCE_KEY_PREFIX = "spread:"


class Subscription:
    """Sends the changes of a prefix as fast as one connection accepts."""

    def __init__(
        self,
        state: prefix_state.PrefixState,
        request: frames.FollowPrefix,
        connection_outbox: outbox.Outbox,
        packer: packing.EventPacker,
    ) -> None:
        """Starts sending.

        Args:
            state: State that contains the prefix.
            request: Request of the follower.
            connection_outbox: Outbox of the connection.
            packer: Compresses events; shared by all followers.
        """
        self._state = state
        self._prefix = request.prefix
        self._version = request.version
        self._announced_version = request.version
        self._outbox = connection_outbox
        self._packer = packer
        state.add_listener(self._mark_ready)
        self._mark_ready()

    def close(self) -> None:
        """Stops sending."""
        self._state.remove_listener(self._mark_ready)

    def announce_position(self) -> frames.PrefixPosition:
        """Returns the follower's position and marks it as announced."""
        base, self._announced_version = self._announced_version, self._version
        return frames.PrefixPosition(self._prefix, base, self._version)

    @property
    def position_changed(self) -> bool:
        """Whether the position has changed since it was announced."""
        return self._announced_version != self._version

    def age_s(self) -> float:
        """Returns the age of the prefix state, in seconds."""
        return self._state.age_s()

    def _mark_ready(self) -> None:
        self._outbox.mark_ready(
            _SOURCE_KEY_PREFIX + self._prefix, self._collect_frames
        )

    def _collect_frames(self) -> list[codec.Frame]:
        update = self._state.changes_since(self._version, self._prefix)
        if update is None:
            return []
        if isinstance(update, change.Snapshot):
            self._version = self._announced_version = update.listed.version
            return [self._snapshot_frame(update)]
        self._version = update.version
        if not update.events:
            return []
        frame = self._delta_frame(update)
        self._announced_version = update.version
        return [frame]

    def _snapshot_frame(self, update: change.Snapshot) -> frames.PrefixSnapshot:
        return frames.PrefixSnapshot(
            self._prefix,
            update.listed.version,
            self._state.age_s(),
            packing.pack_list(update.listed),
        )

    def _delta_frame(self, update: change.Delta) -> frames.PrefixDelta:
        return frames.PrefixDelta(
            self._prefix,
            self._announced_version,
            update.version,
            self._state.age_s(),
            self._packer.pack(self._prefix, update),
        )
