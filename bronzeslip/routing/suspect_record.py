"""Stored record of the suspects observed by one gateway."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields
from bronzeslip.routing import part_record


class SuspectEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Crash history of one fingerprint at one gateway.

    Attributes:
        crash_ids: Crashes during which this gateway had the request in
            flight.
        cleared_ids: Crashes that the request has been cleared of.
        noted_unix_s: Time of the last change by the gateway's wall clock, in
            seconds; used only for expiry.
    """

    crash_ids: tuple[ids.CrashId, ...] = ()
    cleared_ids: tuple[ids.CrashId, ...] = ()
    noted_unix_s: fields.Count = 0


class SuspectRecord(msgspec.Struct, frozen=True):
    """Entries of one gateway, which is their only writer.

    Attributes:
        entries: Crash history by fingerprint of a request.
        parts: Evidence about parts of prompts.
    """

    entries: dict[ids.Fingerprint, SuspectEntry]
    parts: part_record.PartRecord = part_record.PartRecord()

    @property
    def is_empty(self) -> bool:
        """Whether the record says nothing."""
        return not self.entries and not self.parts.crashes
