"""Client side of the connection to a relay."""

import asyncio
from collections.abc import Callable
import time

from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.settings import common
from bronzeslip.spread import errors
from bronzeslip.spread import hub
from bronzeslip.spread import hub_feed
from bronzeslip.spread import link_settings
from bronzeslip.spread import status_aggregator
from bronzeslip.transport import codec
from bronzeslip.transport import connection
from bronzeslip.transport import errors as transport_errors
from bronzeslip.transport.frames import spread as frames

logger = logs.get_logger(__name__)

# Data that the platform has not confirmed for longer is out of date.
MAX_AGE_S = 9.0
_FIRST_ANSWER_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.5
_REPORT_DELAY_S = 0.2


class RelayLink:
    """Replicates every prefix of a hub from one relay."""

    def __init__(
        self,
        settings: common.CommonSettings,
        target: hub.PrefixHub,
        aggregator: status_aggregator.StatusAggregator,
        address: str,
    ) -> None:
        """Creates a link without connecting.

        Args:
            settings: Peer key, heartbeat interval and silence timeout.
            target: Hub to update.
            aggregator: Aggregator whose summary is reported to the relay.
            address: IP address and port of the relay.
        """
        self._settings = link_settings.for_follower(settings)
        self._target = target
        self._aggregator = aggregator
        self._address = address
        self._connection_lost = asyncio.Event()
        self._summary_changed = asyncio.Event()
        self._answered = False
        self._connection: connection.PeerConnection | None = None
        self._feed: hub_feed.HubFeed | None = None

    @property
    def answered(self) -> bool:
        """Whether the relay has sent a frame."""
        return self._answered

    async def run(
        self, should_stop: Callable[[], bool], allow_stale: bool
    ) -> None:
        """Replicates until should_stop returns true.

        Args:
            should_stop: Polled regularly; returns whether to stop.
            allow_stale: Whether to keep following a relay whose data the
                platform has not confirmed for MAX_AGE_S.

        Raises:
            errors.RelayLostError: If the connection is lost or the relay is
                out of date.
        """
        self._connection = connection.PeerConnection(
            self._address,
            self._settings,
            self._on_frame,
            self._connection_lost.set,
        )
        self._feed = hub_feed.HubFeed(self._target, self._connection.send)
        report_task = asyncio.create_task(self._report())
        try:
            await self._follow(should_stop, allow_stale)
        finally:
            report_task.cancel()
            await self._connection.close()

    async def _follow(
        self, should_stop: Callable[[], bool], allow_stale: bool
    ) -> None:
        self._feed.start()
        opened_at_s = time.monotonic()
        while not should_stop():
            if self._connection_lost.is_set():
                raise errors.RelayLostError(
                    f"connection to {self._address} lost"
                )
            open_for_s = time.monotonic() - opened_at_s
            if not allow_stale and open_for_s > _FIRST_ANSWER_TIMEOUT_S:
                self._check_age()
            try:
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await self._connection_lost.wait()
            except TimeoutError:
                continue

    def _check_age(self) -> None:
        age_s = self._target.age_s()
        if age_s > MAX_AGE_S:
            raise errors.RelayLostError(
                f"data of {self._address} is {age_s:.0f} s old"
            )

    async def _report(self) -> None:
        self._aggregator.add_listener(self._summary_changed.set)
        try:
            while True:
                self._summary_changed.clear()
                with isolation.isolated(logger, "spread.report_failed"):
                    report = frames.StatusReport(self._aggregator.summary())
                    self._connection.send(report)
                await self._summary_changed.wait()
                await asyncio.sleep(_REPORT_DELAY_S)
        finally:
            self._aggregator.remove_listener(self._summary_changed.set)

    def _on_frame(self, frame: codec.Frame) -> None:
        self._answered = True
        try:
            self._feed.apply(frame)
        except transport_errors.BadFrameError as error:
            logger.error("spread.unreadable", reason=error.message)
            self._connection_lost.set()
