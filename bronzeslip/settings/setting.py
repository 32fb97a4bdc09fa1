"""Declaration of one setting on a settings class."""

import dataclasses
from typing import Any

from bronzeslip.settings import text_format

_METADATA_KEY = "setting"


@dataclasses.dataclass(frozen=True)
class Setting:
    """What is known of a setting beside its name and type.

    Attributes:
        help: Sentence shown by --help and in the reference.
        group: Heading under which the setting is listed.
        minimum: Smallest number allowed, or None.
        maximum: Largest number allowed, or None.
        secret: Whether the value is kept out of logs and errors.
        environment_only: Whether there is no flag, so that the value does
            not show in a list of processes.
        value_format: Form of the text, or of each part of a list, or None.
    """

    help: str
    group: str
    minimum: float | None = None
    maximum: float | None = None
    secret: bool = False
    environment_only: bool = False
    value_format: text_format.TextFormat | None = None


def setting(
    help: str,
    group: str,
    *,
    default: Any = dataclasses.MISSING,
    minimum: float | None = None,
    maximum: float | None = None,
    secret: bool = False,
    environment_only: bool = False,
    value_format: text_format.TextFormat | None = None,
) -> Any:
    """Declares a dataclass field that is a setting."""
    declaration = Setting(
        help, group, minimum, maximum, secret, environment_only, value_format
    )
    return dataclasses.field(
        default=default,
        metadata={_METADATA_KEY: declaration},
        kw_only=True,
        repr=not secret,
    )


def declaration_of(field: dataclasses.Field) -> Setting:
    """Returns the declaration behind a field of a settings class."""
    return field.metadata[_METADATA_KEY]
