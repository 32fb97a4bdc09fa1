"""What the commands tell."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.cli import difference
from bronzeslip.configuration import record


class DiffResult(msgspec.Struct, frozen=True):
    """What a patch would change.

    Attributes:
        number: Number of the configuration in force.
        patch: RFC 7396 merge patch.
        changes: The fields that differ.
    """

    number: ids.ConfigurationNumber
    patch: dict[str, Any]
    changes: tuple[difference.Change, ...]


class ApplyResult(msgspec.Struct, frozen=True):
    """What became of a patch.

    Attributes:
        number: Number that holds the declarations.
        base_number: Number that the patch was made against.
        applied: Whether a patch was submitted.
        changes: The fields that differed.
    """

    number: ids.ConfigurationNumber
    base_number: ids.ConfigurationNumber
    applied: bool
    changes: tuple[difference.Change, ...]


class GetResult(msgspec.Struct, frozen=True):
    """The configuration or a part of it.

    Attributes:
        number: Its number.
        value: Entries by kind and name, or the part asked for.
    """

    number: ids.ConfigurationNumber
    value: Any


class HistoryResult(msgspec.Struct, frozen=True):
    """The most recent patches, the newest last."""

    patches: tuple[record.PatchEntry, ...]


class ErrorResult(msgspec.Struct, frozen=True):
    """Why a command failed."""

    code: str
    message: str


class DigestResult(msgspec.Struct, frozen=True):
    """Digest of a credential, as declarations hold it."""

    sha256: str
