"""What one gateway has published of poison and safe parts of prompts."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields
from bronzeslip.routing import crash_evidence


class PartRecord(msgspec.Struct, frozen=True):
    """Evidence of one gateway, which is its only writer.

    Attributes:
        crashes: Evidence by crash.
        safe_parts: Parts of this evidence, or of the evidence of another
            gateway, that endpoints have answered, with the time of that by the
            gateway's wall clock, in seconds.
    """

    crashes: dict[ids.CrashId, crash_evidence.CrashEvidence] = {}
    safe_parts: dict[ids.Fingerprint, fields.Count] = {}
