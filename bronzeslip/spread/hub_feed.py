"""Applies the frames of a relay to a hub."""

from collections.abc import Callable
import functools

from bronzeslip import logs
from bronzeslip.spread import errors
from bronzeslip.spread import hub
from bronzeslip.spread import packing
from bronzeslip.transport import codec
from bronzeslip.transport.frames import spread as frames

logger = logs.get_logger(__name__)


class HubFeed:
    """Applies the frames of one relay and resynchronizes after a gap."""

    def __init__(
        self, target: hub.PrefixHub, send: Callable[[codec.Frame], None]
    ) -> None:
        """Creates a feed.

        Args:
            target: Hub to update.
            send: Sends a frame to the relay.
        """
        self._target = target
        self._send = send

    def start(self) -> None:
        """Requests every prefix from its current version on."""
        for state in self._target.states():
            self._request_prefix(state.prefix)

    def apply(self, frame: codec.Frame) -> None:
        """Applies a frame and requests its prefix again if events are missing.

        Raises:
            transport.errors.BadFrameError: If its content can't be decoded.
        """
        try:
            self._apply_frame(frame)
        except errors.GapError as error:
            self._resync(frame.prefix, error)

    def _request_prefix(self, prefix: str) -> None:
        version = self._target.state(prefix).version
        self._send(frames.FollowPrefix(prefix, version))

    def _resync(self, prefix: str, error: errors.GapError) -> None:
        logger.info("spread.gap", reason=error.message)
        self._request_prefix(prefix)

    @functools.singledispatchmethod
    def _apply_frame(self, frame: codec.Frame) -> None:
        logger.warning("spread.unexpected_frame", frame=type(frame).__name__)

    @_apply_frame.register
    def _(self, frame: frames.PrefixSnapshot) -> None:
        state = self._target.state(frame.prefix)
        state.replace(packing.unpack_list(frame.listed))
        state.confirm(frame.age_s)

    @_apply_frame.register
    def _(self, frame: frames.PrefixDelta) -> None:
        state = self._target.state(frame.prefix)
        events = packing.unpack_events(frame.events)
        state.advance(frame.base, frame.version, events)
        state.confirm(frame.age_s)

    @_apply_frame.register
    def _(self, frame: frames.RelayHeartbeat) -> None:
        for position in frame.positions:
            self._apply_position(position)
        for state in self._target.states():
            if state.synced:
                state.confirm(frame.age_s)

    def _apply_position(self, position: frames.PrefixPosition) -> None:
        state = self._target.state(position.prefix)
        if not state.synced:
            return
        try:
            state.advance(position.base, position.version, ())
        except errors.GapError as error:
            self._resync(position.prefix, error)
