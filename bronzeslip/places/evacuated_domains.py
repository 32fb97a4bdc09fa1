"""Failure domains whose endpoints must receive no more requests."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import ids
from bronzeslip import last_confirmation
from bronzeslip import listeners
from bronzeslip import logs

logger = logs.get_logger(__name__)

# A gateway that starts waits for its first listing, unless the store refuses
# only this listing. Without a limit, one refused prefix would keep all new
# gateways from serving.
_MAX_REFUSAL_S = 2.0


class EvacuatedDomains:
    """Set of evacuated failure domains as last listed by its source.

    The last known set remains in effect while the source is unavailable.

    Attributes:
        confirmation: Confirmed whenever the set is known to be up to date.
    """

    def __init__(self) -> None:
        """Creates a set that is empty and not followed."""
        self.confirmation = last_confirmation.LastConfirmation()
        self._domains: frozenset[ids.FailureDomainName] = frozenset()
        self._is_followed = False
        self._is_listed = False
        self._is_source_lost = False
        self._refused_since_s: float | None = None
        self._listeners = listeners.Listeners[[]]("evacuation")

    def __bool__(self) -> bool:
        """Returns whether any failure domain is evacuated."""
        return bool(self._domains)

    def __len__(self) -> int:
        """Returns the number of evacuated failure domains."""
        return len(self._domains)

    def __contains__(self, domain: ids.FailureDomainName) -> bool:
        """Returns whether a failure domain is evacuated."""
        return domain in self._domains

    @property
    def is_ready(self) -> bool:
        """Whether requests may be sent before another listing.

        True if evacuations are not followed, have been listed once, or the
        store refuses to list them for some time.
        """
        if not self._is_followed or self._is_listed:
            return True
        return (
            self._refused_since_s is not None
            and time.monotonic() - self._refused_since_s >= _MAX_REFUSAL_S
        )

    def add_listener(self, listener: Callable[[], object]) -> None:
        """Registers a callback for changes of the set."""
        self._listeners.add(listener)

    def start_following(self) -> None:
        """Records that a source is followed, whose listing is waited for."""
        self._is_followed = True

    def replace_all(self, listed: Iterable[ids.FailureDomainName]) -> None:
        """Replaces the set with a complete listing."""
        if self._is_source_lost:
            logger.info("evacuations.source_regained")
        self._is_source_lost = False
        self._is_listed = True
        self._change(frozenset(listed))

    def add(self, domain: ids.FailureDomainName) -> None:
        """Adds a failure domain."""
        self._change(self._domains | {domain})

    def remove(self, domain: ids.FailureDomainName) -> None:
        """Removes a failure domain."""
        self._change(self._domains - {domain})

    def mark_source_lost(self, is_store_answering: bool) -> None:
        """Records that the source is unavailable.

        Args:
            is_store_answering: Whether the store has answered other requests of
                this process.
        """
        if not self._is_source_lost:
            logger.warning(
                "evacuations.source_lost", domains=sorted(self._domains)
            )
        self._is_source_lost = True
        if is_store_answering and self._refused_since_s is None:
            self._refused_since_s = time.monotonic()

    def _change(self, domains: frozenset[ids.FailureDomainName]) -> None:
        if domains == self._domains:
            return
        for domain in sorted(domains - self._domains):
            self._log("evacuations.applied", domain)
        for domain in sorted(self._domains - domains):
            self._log("evacuations.cleared", domain)
        self._domains = domains
        self._listeners.notify()

    def _log(self, event: str, domain: ids.FailureDomainName) -> None:
        """Logs a change and the time within which it was made."""
        logger.info(
            event,
            failure_domain=domain,
            max_age_s=self.confirmation.rounded_age_s,
        )
