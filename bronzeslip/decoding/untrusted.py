"""Decodes data of any writer; all failures raise one typed error."""

from collections.abc import Callable
import functools
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
_MAX_REASON_CHARS = 500


def from_json(data: Any, value_type: type[ValueT]) -> ValueT:
    """Decodes JSON.

    Args:
        data: Bytes, text or msgspec.Raw.
        value_type: Type to decode into.

    Raises:
        errors.UndecodableError: If the data is not a value of that type.
    """
    return decoded_by(
        functools.partial(msgspec.json.decode, type=value_type), data
    )


def from_msgpack(data: bytes, value_type: type[ValueT]) -> ValueT:
    """Decodes MessagePack.

    Raises:
        errors.UndecodableError: If the data is not a value of that type.
    """
    return decoded_by(
        functools.partial(msgspec.msgpack.decode, type=value_type), data
    )


def from_builtins(tree: Any, value_type: type[ValueT]) -> ValueT:
    """Converts plain values, such as those of a TOML document.

    Raises:
        errors.UndecodableError: If they are not a value of that type.
    """
    return decoded_by(functools.partial(msgspec.convert, type=value_type), tree)


def decoded_by(decode: Callable[[Any], ValueT], data: Any) -> ValueT:
    """Decodes data with a decoder of the codec library.

    Raises:
        errors.UndecodableError: If the decoder raises an exception.
    """
    try:
        return decode(data)
    except _FAILURES as error:
        reason = str(error) or type(error).__name__
        raise errors.UndecodableError(reason[:_MAX_REASON_CHARS]) from error
