"""Results of the commands."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.cli import difference
from bronzeslip.configuration import record


class DiffResult(msgspec.Struct, frozen=True):
    """Changes that a patch would make.

    Attributes:
        number: Number of the current configuration.
        patch: RFC 7396 merge patch.
        changes: Fields that differ.
    """

    number: ids.ConfigurationNumber
    patch: dict[str, Any]
    changes: tuple[difference.Change, ...]


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of applying declarations.

    Attributes:
        number: Number after applying, or the current one if nothing was
            submitted.
        base_number: Number that the patch was made against.
        applied: Whether a patch was submitted.
        changes: Fields that differed.
    """

    number: ids.ConfigurationNumber
    base_number: ids.ConfigurationNumber
    applied: bool
    changes: tuple[difference.Change, ...]


class GetResult(msgspec.Struct, frozen=True):
    """The configuration or part of it.

    Attributes:
        number: Number of the configuration.
        value: Entries by kind and name, or the requested part.
    """

    number: ids.ConfigurationNumber
    value: Any


class HistoryResult(msgspec.Struct, frozen=True):
    """The most recent patches, the newest last."""

    patches: tuple[record.PatchEntry, ...]


class ErrorResult(msgspec.Struct, frozen=True):
    """Reason why a command failed."""

    code: str
    message: str


class DigestResult(msgspec.Struct, frozen=True):
    """Digest of a credential, as used in declarations."""

    sha256: str
