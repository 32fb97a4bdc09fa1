"""Timing of the watches that a gateway keeps at the store."""

import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_rate_limit
from bronzeslip.settings import entry
from bronzeslip.store import follower

# Bounds the calls to the store if a bound is very short.
_MIN_WAIT_S = 0.5


class WatchTiming:
    """Derives how long watches may wait from the bounds of a deployment.

    Nothing shows that the store has forgotten a watch: its connection remains
    open, and other calls are answered. Only the end of the wait ends it, so a
    watch must not wait for longer than a change may stay unknown.
    """

    def __init__(
        self, settings: entry.EntrySettings, bounds: vm_config.PlaceBounds
    ) -> None:
        """Creates the timing.

        Args:
            settings: Maximum waits, timeout of calls and delays.
            bounds: Bounds that limit how late changes are noticed.
        """
        self._settings = settings
        self._bounds = bounds

    def configuration(self) -> follower.FollowTiming:
        """Returns the timing for the configuration."""
        return self._create(
            self._settings.configuration_watch_s, self._bounds.config_s
        )

    def evacuations(self) -> follower.FollowTiming:
        """Returns the timing for evacuations."""
        bound_s = self._bounds.evac_s or self._bounds.contact_s
        return self._create(self._settings.configuration_watch_s, bound_s)

    def suspects(self) -> follower.FollowTiming:
        """Returns the timing for suspects."""
        return self._create_batched(
            self._settings.suspect_watch_s, self._bounds.contact_s
        )

    def endpoints(self) -> follower.FollowTiming:
        """Returns the timing for endpoints."""
        return self._create_batched(
            self._settings.store_watch_s, self._bounds.drain_s
        )

    def _create_batched(
        self, max_wait_s: float, bound_s: float
    ) -> follower.FollowTiming:
        """Returns the timing for objects that many processes write to."""
        return msgspec.structs.replace(
            self._create(max_wait_s, bound_s),
            batch_delay_s=self._settings.store_batch_s,
            rate_limit=watch_rate_limit.create(self._settings, self._bounds),
        )

    def _create(
        self, max_wait_s: float, bound_s: float
    ) -> follower.FollowTiming:
        settings = self._settings
        # Until an unanswered watch is given up and the objects are listed.
        overhead_s = settings.store_backoff_min_s + 2 * settings.store_timeout_s
        wait_s = min(bound_s, self._bounds.contact_s) - overhead_s
        return follower.FollowTiming(
            min(max_wait_s, max(wait_s, _MIN_WAIT_S)),
            settings.store_backoff_min_s,
            settings.store_backoff_max_s,
        )
