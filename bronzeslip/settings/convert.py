"""Conversion of a setting's text into its type."""

import dataclasses
import enum
import types
import typing
from typing import Any

from bronzeslip.settings import errors
from bronzeslip.settings import setting

_TRUE_WORDS = frozenset({"1", "true", "yes", "on"})
_FALSE_WORDS = frozenset({"0", "false", "no", "off"})


def convert(flag: str, text: str, wanted: Any, details: setting.Setting) -> Any:
    """Converts the text of a setting.

    Args:
        flag: Name of the flag, for the error.
        text: The value as written.
        wanted: Type of the field.
        details: Declaration of the setting, for its bounds.

    Returns:
        The value in the wanted type.

    Raises:
        errors.SettingsError: If the value is not allowed.
    """
    base = _without_none(wanted)
    try:
        value = _parse(text, base)
        _check_bounds(value, details)
        _check_form(value, details)
    except ValueError as error:
        shown = "(secret)" if details.secret else repr(text)
        raise errors.SettingsError(
            f"{flag}: {shown} is not allowed; "
            f"allowed: {allowed_values(base, details)}"
        ) from error
    return value


def allowed_values(wanted: Any, details: setting.Setting) -> str:
    """Describes the values that a setting takes."""
    base = _without_none(wanted)
    if details.form is not None:
        return details.form.description
    if isinstance(base, type) and issubclass(base, enum.Enum):
        return ", ".join(str(member.value) for member in base)
    if base is bool:
        return "true, false"
    if typing.get_origin(base) is tuple:
        return "a comma-separated list"
    if base in (int, float):
        return _describe_number(base, details)
    return "text that is not empty"


def _describe_number(base: type, details: setting.Setting) -> str:
    noun = "whole number" if base is int else "number"
    if details.minimum is None and details.maximum is None:
        return f"a {noun}"
    if details.maximum is None:
        return f"a {noun} of at least {details.minimum}"
    return f"a {noun} from {details.minimum} to {details.maximum}"


def _without_none(wanted: Any) -> Any:
    if typing.get_origin(wanted) in (types.UnionType, typing.Union):
        return next(a for a in typing.get_args(wanted) if a is not type(None))
    supertype = getattr(wanted, "__supertype__", None)
    return supertype or wanted


def _parse(text: str, base: Any) -> Any:
    if base is bool:
        return _parse_bool(text)
    if typing.get_origin(base) is tuple:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    if not text:
        raise ValueError("empty")
    return base(text)


def _parse_bool(text: str) -> bool:
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(word)


def _check_bounds(value: Any, details: setting.Setting) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return
    if value != value:
        raise ValueError("not a number")
    if details.minimum is not None and value < details.minimum:
        raise ValueError("too small")
    if details.maximum is not None and value > details.maximum:
        raise ValueError("too large")


def _check_form(value: Any, details: setting.Setting) -> None:
    if details.form is None:
        return
    parts = value if isinstance(value, tuple) else (value,)
    if not all(details.form.matches(part) for part in parts):
        raise ValueError("another form")


def default_text(field: dataclasses.Field) -> str:
    """Describes the default of a settings field."""
    value = field.default
    if value is dataclasses.MISSING:
        return "required"
    if value is None or value in ("", ()):
        return "default: none"
    if isinstance(value, enum.Enum):
        return f"default: {value.value}"
    if isinstance(value, tuple):
        return "default: " + ",".join(str(part) for part in value)
    if isinstance(value, bool):
        return f"default: {str(value).lower()}"
    return f"default: {value}"
