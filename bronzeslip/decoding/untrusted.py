"""Decodes data of any writer; all failures raise one typed error."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

from bronzeslip.decoding import errors

ValueT = TypeVar("ValueT")

# Deep nesting exceeds the recursion limit of the decoders. Text that is not
# UTF-8 and integers with too many digits raise a ValueError.
_FAILURES = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
    MemoryError,
)
_MAX_REASON_CHARS = 200


def from_json(data: Any, value_type: type[ValueT]) -> ValueT:
    """Decodes JSON.

    Args:
        data: Bytes, text or msgspec.Raw.
        value_type: Type to decode into.

    Raises:
        errors.UndecodableError: If the data is not a value of that type.
    """
    return _decode(msgspec.json.decode, data, value_type)


def from_msgpack(data: bytes, value_type: type[ValueT]) -> ValueT:
    """Decodes MessagePack.

    Raises:
        errors.UndecodableError: If the data is not a value of that type.
    """
    return _decode(msgspec.msgpack.decode, data, value_type)


def from_builtins(tree: Any, value_type: type[ValueT]) -> ValueT:
    """Converts plain values, such as those of a TOML document.

    Raises:
        errors.UndecodableError: If they are not a value of that type.
    """
    return _decode(msgspec.convert, tree, value_type)


def _decode(
    decoder: Callable[..., Any], data: Any, value_type: type[ValueT]
) -> ValueT:
    try:
        return decoder(data, type=value_type)
    except _FAILURES as error:
        reason = str(error) or type(error).__name__
        raise errors.UndecodableError(reason[:_MAX_REASON_CHARS]) from error
