"""One follower's connection to this process."""

import asyncio
import functools
import itertools
import math

from bronzeslip import logs
from bronzeslip.settings import common
from bronzeslip.spread import hub
from bronzeslip.spread import packing
from bronzeslip.spread import status_board
from bronzeslip.spread import subscription
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport import outbox
from bronzeslip.transport import silence
from bronzeslip.transport import stream
from bronzeslip.transport import workers
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import spread as frames

logger = logs.get_logger(__name__)

_TURNS_TO_ALL_POSITIONS = 10


class RelaySession:
    """Serves prefixes to one follower and takes its reports."""

    def __init__(
        self,
        settings: common.CommonSettings,
        source: hub.SpreadHub,
        board: status_board.StatusBoard,
        packer: packing.EventPacker,
        peer: stream.PeerStream,
    ) -> None:
        self._settings = settings
        self._source = source
        self._board = board
        self._packer = packer
        self._peer = peer
        self._outbox = outbox.Outbox()
        self._silence = silence.SilenceWatch(settings)
        self._subscriptions: dict[str, subscription.Subscription] = {}

    async def run(self) -> None:
        """Serves until the connection ends."""
        try:
            await workers.run_together(
                self._read(), self._write(), self._beat(), self._silence.run()
            )
        except errors.TransportError as error:
            logger.info("spread.follower_gone", reason=error.message)
        finally:
            for found in self._subscriptions.values():
                found.close()
            self._board.remove(self)

    async def _read(self) -> None:
        while True:
            batch = await self._peer.read()
            self._silence.heard()
            for frame in batch:
                self._take(frame)

    async def _write(self) -> None:
        while True:
            await self._peer.write(await self._outbox.take())

    async def _beat(self) -> None:
        for turn in itertools.count():
            tell_all = turn % _TURNS_TO_ALL_POSITIONS == 0
            self._outbox.put(self._heartbeat(tell_all))
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _heartbeat(self, tell_all: bool) -> frames.RelayHeartbeat:
        followed = self._subscriptions.values()
        return frames.RelayHeartbeat(
            max((found.age_s() for found in followed), default=math.inf),
            tuple(
                found.position()
                for found in followed
                if tell_all or found.has_news
            ),
        )

    @functools.singledispatchmethod
    def _take(self, frame: codec.Frame) -> None:
        logger.warning("spread.unexpected_frame", frame=type(frame).__name__)

    @_take.register
    def _(self, frame: link.Heartbeat) -> None:
        pass

    @_take.register
    def _(self, frame: frames.FollowPrefix) -> None:
        replaced = self._subscriptions.pop(frame.prefix, None)
        if replaced is not None:
            replaced.close()
        state = self._source.state_holding(frame.prefix)
        if state is None:
            logger.warning("spread.unknown_prefix", prefix=frame.prefix)
            return
        self._subscriptions[frame.prefix] = subscription.Subscription(
            state, frame, self._outbox, self._packer
        )

    @_take.register
    def _(self, frame: frames.StatusReport) -> None:
        self._board.put(self, frame.domains)

    @_take.register
    def _(self, frame: frames.AskStatus) -> None:
        self._outbox.put(frames.StatusAnswer(self._board.summary()))
