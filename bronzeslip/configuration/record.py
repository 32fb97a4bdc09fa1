"""A numbered configuration with its latest patches."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document


class PatchEntry(msgspec.Struct, frozen=True):
    """One accepted patch.

    Attributes:
        patch_id: Drawn by the submitter, to recognise its own patch.
        number: Number of the configuration that the patch produced.
        operator: Who submitted it.
        accepted_at_unix_s: When it was accepted, by the gateway's clock.
        patch: RFC 7396 merge patch against number - 1, or None if it was too
            large to be kept.
    """

    patch_id: ids.PatchId
    number: ids.ConfigurationNumber
    operator: ids.OperatorName
    accepted_at_unix_s: float
    patch: Any


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """A numbered configuration with its most recent patches."""

    number: ids.ConfigurationNumber
    document: document.Document
    recent_patches: tuple[PatchEntry, ...] = ()


EMPTY = ConfigurationRecord(ids.ConfigurationNumber(0), document.Document())
