"""Conversion of setting values from text to their types."""

import dataclasses
import enum
import types
import typing
from typing import Any

from bronzeslip.settings import errors
from bronzeslip.settings import setting

_TRUE_WORDS = frozenset({"1", "true", "yes", "on"})
_FALSE_WORDS = frozenset({"0", "false", "no", "off"})


def convert(
    flag: str, text: str, field_type: Any, declaration: setting.Setting
) -> Any:
    """Converts the text of a setting to the type of its field.

    Args:
        flag: Name of the flag, used in error messages.
        text: Value as given by the user.
        field_type: Type of the field.
        declaration: Declaration of the setting, with its bounds and format.

    Returns:
        The converted value.

    Raises:
        errors.SettingsError: If the value is not allowed.
    """
    value_type = _unwrap_type(field_type)
    try:
        value = _parse(text, value_type)
        _check_bounds(value, declaration)
        _check_format(value, declaration)
    except ValueError as error:
        shown = "(secret)" if declaration.secret else repr(text)
        raise errors.SettingsError(
            f"{flag}: {shown} is not allowed; "
            f"allowed: {allowed_values(value_type, declaration)}"
        ) from error
    return value


def allowed_values(field_type: Any, declaration: setting.Setting) -> str:
    """Describes the allowed values of a setting."""
    value_type = _unwrap_type(field_type)
    if declaration.value_format is not None:
        return declaration.value_format.description
    if isinstance(value_type, type) and issubclass(value_type, enum.Enum):
        return ", ".join(str(member.value) for member in value_type)
    if value_type is bool:
        return "true, false"
    if typing.get_origin(value_type) is tuple:
        return "a comma-separated list"
    if value_type in (int, float):
        return _describe_number(value_type, declaration)
    return "non-empty text"


def _describe_number(value_type: type, declaration: setting.Setting) -> str:
    noun = "whole number" if value_type is int else "number"
    if declaration.minimum is None and declaration.maximum is None:
        return f"a {noun}"
    if declaration.maximum is None:
        return f"a {noun} of at least {declaration.minimum}"
    return f"a {noun} from {declaration.minimum} to {declaration.maximum}"


def _unwrap_type(field_type: Any) -> Any:
    if typing.get_origin(field_type) in (types.UnionType, typing.Union):
        return next(
            argument
            for argument in typing.get_args(field_type)
            if argument is not type(None)
        )
    supertype = getattr(field_type, "__supertype__", None)
    return supertype or field_type


def _parse(text: str, value_type: Any) -> Any:
    if value_type is bool:
        return _parse_bool(text)
    if typing.get_origin(value_type) is tuple:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    if not text:
        raise ValueError("empty")
    return value_type(text)


def _parse_bool(text: str) -> bool:
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(word)


def _check_bounds(value: Any, declaration: setting.Setting) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return
    if value != value:
        raise ValueError("not a number")
    if declaration.minimum is not None and value < declaration.minimum:
        raise ValueError("too small")
    if declaration.maximum is not None and value > declaration.maximum:
        raise ValueError("too large")


def _check_format(value: Any, declaration: setting.Setting) -> None:
    if declaration.value_format is None:
        return
    parts = value if isinstance(value, tuple) else (value,)
    if not all(declaration.value_format.matches(part) for part in parts):
        raise ValueError("invalid format")


def default_text(field: dataclasses.Field) -> str:
    """Describes the default value of a settings field."""
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
