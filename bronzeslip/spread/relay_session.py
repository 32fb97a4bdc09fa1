"""Server side of the connection of one follower."""

import asyncio
import functools
import itertools
import math

from bronzeslip import logs
from bronzeslip.settings import common
from bronzeslip.spread import hub
from bronzeslip.spread import packing
from bronzeslip.spread import status_aggregator
from bronzeslip.spread import subscription
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport import idle_timeout
from bronzeslip.transport import outbox
from bronzeslip.transport import stream
from bronzeslip.transport import workers
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import spread as frames

logger = logs.get_logger(__name__)

_ALL_POSITIONS_INTERVAL_HEARTBEATS = 10


class RelaySession:
    """Serves prefixes to one follower and collects its status reports."""

    def __init__(
        self,
        settings: common.CommonSettings,
        source: hub.PrefixHub,
        aggregator: status_aggregator.StatusAggregator,
        packer: packing.EventPacker,
        peer: stream.PeerStream,
    ) -> None:
        self._settings = settings
        self._source = source
        self._aggregator = aggregator
        self._packer = packer
        self._peer = peer
        self._outbox = outbox.Outbox()
        self._idle_timeout = idle_timeout.IdleTimeout(settings)
        self._subscriptions: dict[str, subscription.Subscription] = {}

    async def run(self) -> None:
        """Serves the follower until the connection ends."""
        try:
            await workers.run_together(
                self._read(),
                self._write(),
                self._send_heartbeats(),
                self._idle_timeout.run(),
            )
        except errors.TransportError as error:
            logger.info("spread.follower_gone", reason=error.message)
        finally:
            for entry in self._subscriptions.values():
                entry.close()
            self._aggregator.remove_report(self)

    async def _read(self) -> None:
        while True:
            batch = await self._peer.read()
            self._idle_timeout.reset()
            for frame in batch:
                self._handle_frame(frame)

    async def _write(self) -> None:
        while True:
            await self._peer.write(await self._outbox.take())

    async def _send_heartbeats(self) -> None:
        for index in itertools.count():
            include_all = index % _ALL_POSITIONS_INTERVAL_HEARTBEATS == 0
            self._outbox.put(self._heartbeat(include_all))
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _heartbeat(self, include_all: bool) -> frames.RelayHeartbeat:
        subscriptions = self._subscriptions.values()
        return frames.RelayHeartbeat(
            max((entry.age_s() for entry in subscriptions), default=math.inf),
            tuple(
                entry.announce_position()
                for entry in subscriptions
                if include_all or entry.position_changed
            ),
        )

    @functools.singledispatchmethod
    def _handle_frame(self, frame: codec.Frame) -> None:
        logger.warning("spread.unexpected_frame", frame=type(frame).__name__)

    @_handle_frame.register
    def _(self, frame: link.Heartbeat) -> None:
        pass

    @_handle_frame.register
    def _(self, frame: frames.FollowPrefix) -> None:
        previous = self._subscriptions.pop(frame.prefix, None)
        if previous is not None:
            previous.close()
        state = self._source.find_state(frame.prefix)
        if state is None:
            logger.warning("spread.unknown_prefix", prefix=frame.prefix)
            return
        self._subscriptions[frame.prefix] = subscription.Subscription(
            state, frame, self._outbox, self._packer
        )

    @_handle_frame.register
    def _(self, frame: frames.StatusReport) -> None:
        self._aggregator.set_report(self, frame.domains)

    @_handle_frame.register
    def _(self, frame: frames.AskStatus) -> None:
        self._outbox.put(frames.StatusAnswer(self._aggregator.summary()))
