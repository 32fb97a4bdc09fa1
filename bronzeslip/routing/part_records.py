"""Evidence of all gateways about parts of prompts."""

from collections.abc import Callable
from collections.abc import Iterator

from bronzeslip import ids
from bronzeslip.routing import crash_evidence
from bronzeslip.routing import part_record

_MAX_OWN_CRASHES = 32


class PartRecords:
    """The record of this gateway and those of the others.

    Attributes:
        own: Record of this gateway.
        has_changed: Whether a record has changed since this was last reset.
    """

    def __init__(self, ttl_s: float, wall_clock: Callable[[], float]) -> None:
        """Creates empty records.

        Args:
            ttl_s: Time to live of evidence, in seconds.
            wall_clock: Wall clock, in seconds.
        """
        self._ttl_s = ttl_s
        self._wall_clock = wall_clock
        self._others: dict[ids.ObjectKey, part_record.PartRecord] = {}
        self.own = part_record.PartRecord()
        self.has_changed = False

    def put_crash(
        self, crash_id: ids.CrashId, evidence: crash_evidence.CrashEvidence
    ) -> None:
        """Sets the evidence of this gateway about a crash."""
        self.own.crashes[crash_id] = evidence
        self.has_changed = True

    def put_safe(self, parts: list[ids.Fingerprint]) -> None:
        """Records that this gateway knows parts to be safe now."""
        now_unix_s = int(self._wall_clock())
        self.own.safe_parts.update(dict.fromkeys(parts, now_unix_s))
        self.has_changed = True

    def apply(self, key: ids.ObjectKey, record: part_record.PartRecord) -> None:
        """Replaces the record of another gateway."""
        self._others[key] = record
        self.has_changed = True

    def restore_own(self, record: part_record.PartRecord) -> None:
        """Adds what this gateway had published before it was restarted."""
        for crash_id, evidence in record.crashes.items():
            self.own.crashes.setdefault(crash_id, evidence)
        for part, proven_unix_s in record.safe_parts.items():
            self.own.safe_parts.setdefault(part, proven_unix_s)
        self.has_changed = True

    def drop(self, key: ids.ObjectKey) -> None:
        """Removes the record of another gateway."""
        if self._others.pop(key, None) is not None:
            self.has_changed = True

    def is_expired(self, key: ids.ObjectKey) -> bool:
        """Returns whether the record of another gateway holds no evidence."""
        record = self._others.get(key)
        return record is None or all(
            self._has_expired(evidence.noted_unix_s)
            for evidence in record.crashes.values()
        )

    def prune_own(self) -> None:
        """Removes what has expired and the oldest crashes beyond a limit."""
        crashes = sorted(
            self.own.crashes.items(), key=lambda item: item[1].noted_unix_s
        )
        self.own = part_record.PartRecord(
            {
                crash_id: evidence
                for crash_id, evidence in crashes[-_MAX_OWN_CRASHES:]
                if not self._has_expired(evidence.noted_unix_s)
            },
            {
                part: proven_unix_s
                for part, proven_unix_s in self.own.safe_parts.items()
                if not self._has_expired(proven_unix_s)
            },
        )

    def evidence(
        self,
    ) -> Iterator[tuple[ids.CrashId, crash_evidence.CrashEvidence]]:
        """Yields the evidence of each gateway about each crash."""
        for record in (self.own, *self._others.values()):
            for crash_id, evidence in record.crashes.items():
                if not self._has_expired(evidence.noted_unix_s):
                    yield crash_id, evidence

    def safe_parts(self) -> Iterator[tuple[ids.Fingerprint, int]]:
        """Yields the parts known to be safe, with the time of the proof."""
        for record in (self.own, *self._others.values()):
            yield from record.safe_parts.items()

    def _has_expired(self, noted_unix_s: int) -> bool:
        return self._wall_clock() - noted_unix_s > self._ttl_s
