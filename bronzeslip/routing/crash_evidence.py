"""What one gateway knows of the prompts that were lost in a crash."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields


class CrashEvidence(msgspec.Struct, frozen=True):
    """Prompts that an endpoint had not yet begun to answer when it crashed.

    Attributes:
        part_sets: Parts of each prompt that are not known to be safe.
        crashed_unix_s: Time of the crash by the gateway's wall clock, in
            seconds.
        noted_unix_s: Time of the last change, in seconds; used only for expiry.
    """

    part_sets: tuple[tuple[ids.Fingerprint, ...], ...]
    crashed_unix_s: fields.Count
    noted_unix_s: fields.Count
