"""One follower's place in one prefix."""

from bronzeslip.spread import change
from bronzeslip.spread import packing
from bronzeslip.spread import prefix_state
from bronzeslip.transport import codec
from bronzeslip.transport import outbox
from bronzeslip.transport.frames import spread as frames

_KEY_PREFIX = "spread:"


class Subscription:
    """Sends a prefix to one connection at the pace that it takes."""

    def __init__(
        self,
        state: prefix_state.PrefixState,
        follow: frames.FollowPrefix,
        target: outbox.Outbox,
        packer: packing.EventPacker,
    ) -> None:
        """Starts to send.

        Args:
            state: State that holds the prefix.
            follow: What the follower asked.
            target: Outbox of the connection.
            packer: Compresses events, shared by the followers.
        """
        self._state = state
        self._prefix = follow.prefix
        self._version = follow.version
        self._told_version = follow.version
        self._target = target
        self._packer = packer
        state.add_listener(self._mark_ready)
        self._mark_ready()

    def close(self) -> None:
        """Stops sending."""
        self._state.remove_listener(self._mark_ready)

    def position(self) -> frames.PrefixPosition:
        """Tells the follower how far it has been brought."""
        base, self._told_version = self._told_version, self._version
        return frames.PrefixPosition(self._prefix, base, self._version)

    @property
    def has_news(self) -> bool:
        """Whether the follower has not been told its position."""
        return self._told_version != self._version

    def age_s(self) -> float:
        """Returns the time since the platform confirmed the prefix."""
        return self._state.age_s()

    def _mark_ready(self) -> None:
        self._target.mark_ready(_KEY_PREFIX + self._prefix, self._take)

    def _take(self) -> list[codec.Frame]:
        found = self._state.change_after(self._version, self._prefix)
        if found is None:
            return []
        if isinstance(found, change.Snapshot):
            self._version = self._told_version = found.listed.version
            return [self._snapshot_frame(found)]
        self._version = found.version
        if not found.events:
            return []
        frame = self._delta_frame(found)
        self._told_version = found.version
        return [frame]

    def _snapshot_frame(self, found: change.Snapshot) -> frames.PrefixSnapshot:
        return frames.PrefixSnapshot(
            self._prefix,
            found.listed.version,
            self._state.age_s(),
            packing.pack_list(found.listed),
        )

    def _delta_frame(self, found: change.Delta) -> frames.PrefixDelta:
        return frames.PrefixDelta(
            self._prefix,
            self._told_version,
            found.version,
            self._state.age_s(),
            self._packer.pack(self._prefix, found),
        )
