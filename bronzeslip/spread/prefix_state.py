"""Replicated state of the objects under one prefix."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip.spread import change
from bronzeslip.spread import errors
from bronzeslip.spread import event_log
from bronzeslip.store import objects


class PrefixState:
    """Objects under a prefix at a version that never decreases.

    Several sources, such as the platform and a relay, may update the same
    state. Each delivers its events without gaps, and events that the state
    already contains are skipped.

    Attributes:
        prefix: Prefix of the keys.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self._objects: dict[ids.ObjectKey, objects.PlatformObject] = {}
        self._version = change.UNKNOWN_VERSION
        self._log = event_log.EventLog(self._version)
        self._confirmed_at_s = -float("inf")
        self._listeners = listeners.Listeners[[]]("objects")

    @property
    def version(self) -> ids.ObjectVersion:
        """Version of the state, or UNKNOWN_VERSION before the first update."""
        return self._version

    @property
    def synced(self) -> bool:
        """Whether an initial state has been received."""
        return self._version != change.UNKNOWN_VERSION

    def age_s(self) -> float:
        """Returns the time since the last confirmation, in seconds."""
        return time.monotonic() - self._confirmed_at_s

    def confirm(self, age_s: float = 0.0) -> None:
        """Records that the platform confirmed the state some time ago.

        Args:
            age_s: Time since the confirmation, in seconds.
        """
        confirmed_at_s = time.monotonic() - age_s
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener."""
        self._listeners.remove(listener)

    def replace(self, object_list: objects.ObjectList) -> None:
        """Replaces the state by a complete list, unless the list is older."""
        if object_list.version <= self._version:
            return
        if not self.synced:
            self._objects = {obj.key: obj for obj in object_list.objects}
            self._log = event_log.EventLog(object_list.version)
        else:
            for event in self._diff_events(object_list):
                self._apply(event)
        self._version = object_list.version
        self._notify()

    def advance(
        self,
        base: ids.ObjectVersion,
        version: ids.ObjectVersion,
        events: Iterable[objects.ObjectEvent],
    ) -> None:
        """Applies the changes from a base version to a later version.

        Raises:
            errors.GapError: If the state is older than the base version.
        """
        if base > self._version:
            raise errors.GapError(
                f"{self.prefix}: events from version {self._version} to {base} "
                "are missing"
            )
        if version <= self._version:
            return
        for event in events:
            if event.version > self._version:
                self._apply(event)
        self._version = version
        self._notify()

    def changes_since(
        self, version: ids.ObjectVersion, prefix: str
    ) -> change.Change | None:
        """Returns the update for a follower at a version.

        Args:
            version: Version that the follower has.
            prefix: Prefix that it follows, equal to the state's or longer.

        Returns:
            A delta, or a snapshot if the follower has no version or the log
            no longer reaches back to it; None if the follower is up to date.
        """
        if not self.synced or version >= self._version:
            return None
        logged = self._log.events_since(version)
        if version == change.UNKNOWN_VERSION or logged is None:
            return change.Snapshot(self._list_objects(prefix))
        events = tuple(
            event for event in logged if event.key.startswith(prefix)
        )
        return change.Delta(version, self._version, events)

    def _list_objects(self, prefix: str) -> objects.ObjectList:
        selected = tuple(
            obj for key, obj in self._objects.items() if key.startswith(prefix)
        )
        return objects.ObjectList(self._version, selected)

    def _diff_events(
        self, object_list: objects.ObjectList
    ) -> list[objects.ObjectEvent]:
        present_keys = {obj.key for obj in object_list.objects}
        put_events = [
            objects.ObjectEvent(
                objects.EventKind.PUT, obj.key, obj.version, obj.value
            )
            for obj in sorted(object_list.objects, key=_version_of)
            if obj.version > self._version
        ]
        delete_events = [
            objects.ObjectEvent(
                objects.EventKind.DELETE, key, object_list.version
            )
            for key in self._objects
            if key not in present_keys
        ]
        return put_events + delete_events

    def _apply(self, event: objects.ObjectEvent) -> None:
        if event.kind is objects.EventKind.PUT:
            self._objects[event.key] = objects.PlatformObject(
                event.key, event.version, event.value
            )
            self._log.append(event)
            return
        self._objects.pop(event.key, None)
        self._log.append(
            objects.ObjectEvent(event.kind, event.key, event.version)
        )

    def _notify(self) -> None:
        self._listeners.notify()


def _version_of(obj: objects.PlatformObject) -> ids.ObjectVersion:
    return obj.version
