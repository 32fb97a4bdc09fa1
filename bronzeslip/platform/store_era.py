"""Era of the store, which rises when it is restored from an older copy."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip import logs
from bronzeslip.decoding import numbers
from bronzeslip.store import errors

logger = logs.get_logger(__name__)

# Revisions are counted anew in each era. A version contains both, so that
# versions of different eras never compare equal.
_REVISION_BITS = 48
MAX_REVISION = (1 << _REVISION_BITS) - 1


class StoreEra:
    """Tracks the newest era and rejects what belongs to an older one."""

    def __init__(self) -> None:
        self._current = 0
        self._listeners = listeners.Listeners[[]]("restore")

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for restores of the store."""
        self._listeners.add(listener)

    def observe(self, text: str | None) -> int:
        """Processes the era stated by a response and returns it.

        Args:
            text: Value of the response header, or None without one.

        Raises:
            errors.PlatformUnavailableError: If the response is from an older
                era, or from an unknown one although eras are stated.
        """
        era = (None if text is None else numbers.parse_count(text)) or 0
        if era < self._current:
            raise errors.PlatformUnavailableError(
                f"response of era {era}, but the store is in {self._current}"
            )
        if era > self._current:
            self._advance(era)
        return era

    def check_write(self, version: ids.ObjectVersion) -> None:
        """Checks that a conditional write refers to the current era.

        Raises:
            errors.VersionConflictError: If the version is of an older era.
        """
        if _era_of(version) != self._current:
            raise errors.VersionConflictError(
                "the store was restored since the object was read"
            )

    def check_written(
        self, version: ids.ObjectVersion, response_era: int
    ) -> None:
        """Checks that the store was not restored during a conditional write.

        Raises:
            errors.PlatformUnavailableError: If it was; the write may have
                been applied to another object version by coincidence.
        """
        if _era_of(version) != response_era:
            raise errors.PlatformUnavailableError(
                "the store was restored during a conditional write"
            )

    def check_watch(self, after: ids.ObjectVersion, era: int) -> None:
        """Checks that a watch continues in the era in which it began.

        Raises:
            errors.WatchExpiredError: If it does not.
        """
        if _era_of(after) != era:
            raise errors.WatchExpiredError("the store was restored")

    @property
    def current(self) -> int:
        """Newest known era, 0 if the store states none."""
        return self._current

    def _advance(self, era: int) -> None:
        previous, self._current = self._current, era
        if not previous:
            return
        logger.warning("platform.store_restored", era=era, previous=previous)
        self._listeners.notify()


def version_of(era: int, revision: int) -> ids.ObjectVersion:
    """Returns the version of an object or listing."""
    return ids.ObjectVersion(era << _REVISION_BITS | revision)


def revision_of(version: ids.ObjectVersion) -> int:
    """Returns the store's revision."""
    return version & MAX_REVISION


def _era_of(version: ids.ObjectVersion) -> int:
    return version >> _REVISION_BITS
