"""Declaration of settings as dataclass fields."""

import dataclasses
from typing import Any

from bronzeslip.settings import text_format

_METADATA_KEY = "setting"


@dataclasses.dataclass(frozen=True)
class Setting:
    """Properties of a setting besides its name and type.

    Attributes:
        help: Description shown by --help and in the settings reference.
        group: Heading under which the setting is listed.
        minimum: Smallest allowed number, or None.
        maximum: Largest allowed number, or None.
        secret: Whether the value is hidden in logs and error messages.
        environment_only: Whether the setting has no flag, so that its value
            does not appear in process listings.
        value_format: Format of the text or of each list item, or None.
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
    """Declares a dataclass field as a setting."""
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
    """Returns the declaration of a settings field."""
    return field.metadata[_METADATA_KEY]
