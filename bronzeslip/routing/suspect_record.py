"""What one gateway knows of requests that were in flight at crashes."""

import msgspec

from bronzeslip import ids


class SuspectEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One fingerprint as one gateway knows it.

    Attributes:
        crash_ids: Crashes at which this gateway had it in flight.
        cleared_ids: Crashes that it has been cleared of.
        noted_unix_s: When the entry changed last, by the gateway's wall
            clock, in seconds; decides only when it expires.
    """

    crash_ids: tuple[ids.CrashId, ...] = ()
    cleared_ids: tuple[ids.CrashId, ...] = ()
    noted_unix_s: int = 0


class SuspectRecord(msgspec.Struct, frozen=True):
    """Entries of one gateway, which alone writes them."""

    entries: dict[ids.Fingerprint, SuspectEntry]
