"""Follows the objects under a prefix with list and watch calls."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
from typing import Any

import msgspec

from bronzeslip import backoff
from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import last_confirmation
from bronzeslip import logs
from bronzeslip.store import errors
from bronzeslip.store import objects
from bronzeslip.store import rate_limiter
from bronzeslip.store import watched_store

logger = logs.get_logger(__name__)

_MAX_RELIST_DELAY_S = 0.3


class FollowTiming(msgspec.Struct, frozen=True):
    """Timing of a follower.

    Attributes:
        watch_wait_s: Maximum wait of one watch call, in seconds.
        min_backoff_s: First delay after a failure, in seconds.
        max_backoff_s: Maximum delay after repeated failures, in seconds.
        batch_delay_s: Delay after changes before the next watch call, so that
            it returns several changes together, in seconds.
        rate_limit: Rate limit of watch calls, or None.
    """

    watch_wait_s: float = 5.0
    min_backoff_s: float = 0.2
    max_backoff_s: float = 5.0
    batch_delay_s: float = 0.0
    rate_limit: rate_limiter.RateLimit | None = None


_DEFAULT_TIMING = FollowTiming()


class PrefixFollower:
    """Passes every change under a prefix to callbacks.

    An unexpected exception of a callback for one change is logged and does not
    affect the others. If a call or the callback for a listing raises one, the
    objects are listed again after a delay.

    Attributes:
        confirmation: Confirmed after each response, once its changes have been
            passed to the callbacks.
    """

    def __init__(
        self,
        store: watched_store.WatchedStore,
        prefix: str,
        on_list: Callable[[objects.ObjectList], Awaitable[None]],
        on_event: Callable[[objects.ObjectEvent], Awaitable[None]],
        on_progress: Callable[[ids.ObjectVersion], None] | None = None,
        on_failure: Callable[[], None] | None = None,
        timing: FollowTiming = _DEFAULT_TIMING,
        current_rate_limit: Callable[[], rate_limiter.RateLimit] | None = None,
        confirmation: last_confirmation.LastConfirmation | None = None,
    ) -> None:
        """Creates a follower.

        Args:
            store: Client of the store.
            prefix: Prefix of the keys to follow.
            on_list: Called with the complete state at the start and whenever
                events may have been missed.
            on_event: Called with each later change, in order.
            on_progress: Called after each response with the version up to
                which all changes have been passed to the callbacks.
            on_failure: Called after each failed call or listing.
            timing: Waits, delays and rate limit.
            current_rate_limit: Returns the rate limit of the next watch call,
                in place of that of the timing.
            confirmation: Record of the responses; by default, one of its own.
        """
        self.confirmation = confirmation or last_confirmation.LastConfirmation()
        self._store = store
        self._prefix = prefix
        self._on_list = on_list
        self._on_event = on_event
        self._on_progress = on_progress
        self._on_failure = on_failure
        self._timing = timing
        self._rate_limiter = timing.rate_limit and rate_limiter.RateLimiter(
            timing.rate_limit
        )
        self._current_rate_limit = current_rate_limit
        self._waiting_watch: asyncio.Timeout | None = None
        self._has_failed = False
        self._backoff = backoff.Backoff(
            timing.min_backoff_s, timing.max_backoff_s
        )
        # Not reset by a listing, since the watch after it may fail each time.
        self._unexpected_backoff = backoff.Backoff(
            timing.min_backoff_s, timing.max_backoff_s
        )

    def interrupt(self) -> None:
        """Ends a waiting watch call and lists again.

        Called when another call shows that the store has failed or was
        restored, since a connection that has gone silent does not show it.
        """
        if self._waiting_watch is not None:
            self._waiting_watch.reschedule(asyncio.get_running_loop().time())
            self._waiting_watch = None

    async def run(self) -> None:
        """Lists and watches the objects until cancelled.

        Lists again when the watch has expired and, after a delay, when a call
        has failed.
        """
        while True:
            try:
                version = await self._list()
                self._backoff.reset()
                await self._watch(version)
            except errors.WatchExpiredError:
                # The watches of all gateways expire at the same moment.
                await asyncio.sleep(random.uniform(0, _MAX_RELIST_DELAY_S))
            except errors.PlatformError as error:
                logger.warning(
                    "platform.follow_failed",
                    prefix=self._prefix,
                    reason=error.message,
                )
                await self._wait_after_failure(self._backoff)
            except Exception as error:
                logger.error(
                    "platform.follow_failed_unexpectedly",
                    prefix=self._prefix,
                    reason=logs.describe(error),
                )
                await self._wait_after_failure(self._unexpected_backoff)

    async def _list(self) -> ids.ObjectVersion:
        listing = await self._store.list_objects(self._prefix)
        await self._on_list(listing)
        if self._has_failed:
            self._has_failed = False
            logger.info(
                "platform.follow_resumed",
                prefix=self._prefix,
                unconfirmed_s=self.confirmation.rounded_age_s,
            )
        self._report_progress(listing.version)
        return listing.version

    async def _watch(self, version: ids.ObjectVersion) -> None:
        while True:
            if self._rate_limiter is not None:
                if self._current_rate_limit is not None:
                    self._rate_limiter.set_limit(self._current_rate_limit())
                await self._rate_limiter.acquire()
            batch = await self._wait_for_changes(version)
            self._unexpected_backoff.reset()
            for event in batch.events:
                with self._isolated("platform.event_failed", key=event.key):
                    await self._on_event(event)
            version = batch.version
            self._report_progress(version)
            if batch.events and self._timing.batch_delay_s:
                await asyncio.sleep(self._timing.batch_delay_s)

    async def _wait_for_changes(
        self, version: ids.ObjectVersion
    ) -> objects.WatchBatch:
        try:
            async with asyncio.timeout(None) as self._waiting_watch:
                return await self._store.watch(
                    self._prefix, version, self._timing.watch_wait_s
                )
        except TimeoutError as error:
            raise errors.WatchExpiredError("interrupted") from error
        finally:
            self._waiting_watch = None

    def _report_progress(self, version: ids.ObjectVersion) -> None:
        self.confirmation.confirm()
        if self._on_progress is not None:
            with self._isolated("platform.progress_failed"):
                self._on_progress(version)

    async def _wait_after_failure(self, delay: backoff.Backoff) -> None:
        self._has_failed = True
        if self._on_failure is not None:
            with self._isolated("platform.failure_not_handled"):
                self._on_failure()
        await asyncio.sleep(delay.next_delay_s())

    def _isolated(
        self, event: str, **fields: Any
    ) -> contextlib.AbstractContextManager[None]:
        return isolation.isolated(logger, event, prefix=self._prefix, **fields)
