"""Requests suspected of having crashed an endpoint."""

from collections.abc import Callable
import time

import msgspec

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.routing import part_quarantine
from bronzeslip.routing import suspect_record
from bronzeslip.routing import suspect_settings
from bronzeslip.routing import suspect_state
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

SUSPECTS_PREFIX = "suspects/"
_MIN_QUARANTINE_CRASHES = 2
_MAX_OWN_ENTRIES = 2000

_NO_ENTRY = suspect_record.SuspectEntry()


class SuspectList:
    """Merges this gateway's record of suspects with those of the others.

    The state of a fingerprint is determined by the crashes that any gateway
    has observed while the request was in flight, minus those that any gateway
    has cleared it of. Entries only grow, so the order in which records arrive
    does not matter.

    Attributes:
        parts: Quarantine of prompts by their parts, from the same records.
    """

    def __init__(
        self,
        settings: suspect_settings.SuspectSettings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates an empty list.

        Args:
            settings: VM id of this gateway and time to live of entries.
            wall_clock: Wall clock for the timestamps of entries, in seconds.
        """
        self._settings = settings
        self._wall_clock = wall_clock
        self.parts = part_quarantine.PartQuarantine(settings, wall_clock)
        self._own_key = record_key(settings.vm_id)
        self._records: dict[
            ids.ObjectKey,
            dict[ids.Fingerprint, suspect_record.SuspectEntry],
        ] = {self._own_key: {}}
        self._keys_by_fingerprint: dict[
            ids.Fingerprint, set[ids.ObjectKey]
        ] = {}

    @property
    def has_entries(self) -> bool:
        """Whether any gateway's record contains an entry."""
        return bool(self._keys_by_fingerprint)

    def state_of(
        self, fingerprint: ids.Fingerprint
    ) -> suspect_state.SuspectState:
        """Returns the state of a request."""
        count = len(self.crashes_of(fingerprint))
        if count >= _MIN_QUARANTINE_CRASHES:
            return suspect_state.SuspectState.QUARANTINED
        if count:
            return suspect_state.SuspectState.SUSPECT
        return suspect_state.SuspectState.CLEAR

    def crashes_of(self, fingerprint: ids.Fingerprint) -> set[ids.CrashId]:
        """Returns the crashes that a request has not been cleared of."""
        crashes: set[ids.CrashId] = set()
        cleared: set[ids.CrashId] = set()
        for key in self._keys_by_fingerprint.get(fingerprint, ()):
            entry = self._records[key][fingerprint]
            if not self._is_expired(entry):
                crashes.update(entry.crash_ids)
                cleared.update(entry.cleared_ids)
        return crashes - cleared

    def add_crash(
        self, fingerprint: ids.Fingerprint, crash_id: ids.CrashId
    ) -> None:
        """Records that a request was in flight during a crash."""
        entry = self._own_entry(fingerprint)
        crash_ids = (*entry.crash_ids, crash_id)
        self._store_own(
            fingerprint, msgspec.structs.replace(entry, crash_ids=crash_ids)
        )

    def clear(self, fingerprint: ids.Fingerprint) -> None:
        """Clears a request of its crashes after it has run successfully."""
        entry = self._own_entry(fingerprint)
        cleared = {*entry.cleared_ids, *self.crashes_of(fingerprint)}
        self._store_own(
            fingerprint,
            msgspec.structs.replace(entry, cleared_ids=tuple(sorted(cleared))),
        )

    def own_record(self) -> suspect_record.SuspectRecord:
        """Returns the record of this gateway, to be shared with the others.

        Expired entries are removed first, and so are the earliest added
        entries while there are more than the maximum.
        """
        own_entries = self._records[self._own_key]
        for fingerprint, entry in list(own_entries.items()):
            if self._is_expired(entry) or len(own_entries) > _MAX_OWN_ENTRIES:
                self._remove_entry(self._own_key, fingerprint)
        return suspect_record.SuspectRecord(
            dict(own_entries), self.parts.own_record()
        )

    def abandoned_keys(
        self, live_vm_ids: set[ids.VmId]
    ) -> tuple[ids.ObjectKey, ...]:
        """Returns the keys of expired records of gateways that are gone.

        A record is expired if all of its entries are.

        Args:
            live_vm_ids: VM ids of the known gateways.
        """
        live_keys = {record_key(vm_id) for vm_id in live_vm_ids} | {
            self._own_key
        }
        return tuple(
            key
            for key, entries in self._records.items()
            if key not in live_keys
            and all(self._is_expired(entry) for entry in entries.values())
            and self.parts.records.is_expired(key)
        )

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Applies a complete listing of the records of all gateways."""
        removed_keys = set(self._records) - {
            listed_object.key for listed_object in listed.objects
        }
        for key in removed_keys - {self._own_key}:
            self._drop_record(key)
        for listed_object in listed.objects:
            key = listed_object.key
            with isolation.isolated(logger, "suspects.record_failed", key=key):
                self._apply(key, listed_object.value)

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Applies a change of one record."""
        if event.kind is objects.EventKind.PUT:
            self._apply(event.key, event.value)
        elif event.key != self._own_key:
            self._drop_record(event.key)

    def _apply(self, key: ids.ObjectKey, value: msgspec.Raw) -> None:
        try:
            record = untrusted.from_json(value, suspect_record.SuspectRecord)
        except decoding_errors.UndecodableError as error:
            logger.error("suspects.unreadable", key=key, reason=error.message)
            return
        if key == self._own_key:
            self._restore_own(record)
            return
        self._remove_entries(key)
        self._records[key] = {}
        self.parts.records.apply(key, record.parts)
        for fingerprint, entry in record.entries.items():
            self._store(key, fingerprint, entry)

    def _restore_own(self, record: suspect_record.SuspectRecord) -> None:
        own_entries = self._records[self._own_key]
        for fingerprint, entry in record.entries.items():
            if fingerprint not in own_entries:
                self._store(self._own_key, fingerprint, entry)
        self.parts.records.restore_own(record.parts)

    def _own_entry(
        self, fingerprint: ids.Fingerprint
    ) -> suspect_record.SuspectEntry:
        return self._records[self._own_key].get(fingerprint, _NO_ENTRY)

    def _store_own(
        self,
        fingerprint: ids.Fingerprint,
        entry: suspect_record.SuspectEntry,
    ) -> None:
        updated = msgspec.structs.replace(
            entry, noted_unix_s=int(self._wall_clock())
        )
        self._store(self._own_key, fingerprint, updated)

    def _store(
        self,
        key: ids.ObjectKey,
        fingerprint: ids.Fingerprint,
        entry: suspect_record.SuspectEntry,
    ) -> None:
        previous_state = self.state_of(fingerprint)
        self._records[key][fingerprint] = entry
        self._keys_by_fingerprint.setdefault(fingerprint, set()).add(key)
        state = self.state_of(fingerprint)
        if state is not previous_state:
            logger.info(f"suspects.{state.value}", fingerprint=fingerprint)

    def _drop_record(self, key: ids.ObjectKey) -> None:
        self._remove_entries(key)
        self._records.pop(key, None)
        self.parts.records.drop(key)

    def _remove_entries(self, key: ids.ObjectKey) -> None:
        for fingerprint in list(self._records.get(key, ())):
            self._remove_entry(key, fingerprint)

    def _remove_entry(
        self, key: ids.ObjectKey, fingerprint: ids.Fingerprint
    ) -> None:
        del self._records[key][fingerprint]
        keys = self._keys_by_fingerprint[fingerprint]
        keys.discard(key)
        if not keys:
            del self._keys_by_fingerprint[fingerprint]

    def _is_expired(self, entry: suspect_record.SuspectEntry) -> bool:
        age_s = self._wall_clock() - entry.noted_unix_s
        return age_s > self._settings.suspect_ttl_s


def record_key(vm_id: ids.VmId) -> ids.ObjectKey:
    """Returns the key of a gateway's record in the platform store."""
    return ids.ObjectKey(f"{SUSPECTS_PREFIX}{vm_id}")
