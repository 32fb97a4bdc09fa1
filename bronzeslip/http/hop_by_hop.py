"""Fields of a head that apply to a single connection."""

from collections.abc import Iterable

_CONNECTION = b"connection"
_NAMES = frozenset(
    {
        _CONNECTION,
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def names_in(
    fields: Iterable[tuple[bytes, bytes]],
    end_to_end: frozenset[bytes] = frozenset(),
) -> frozenset[bytes]:
    """Returns the names of the fields that must not be passed on.

    Args:
        fields: Names, in lower case, and values of the fields of a head.
        end_to_end: Names that are passed on even if the Connection field names
            them.
    """
    options = frozenset(
        token.strip().lower()
        for name, value in fields
        if name == _CONNECTION
        for token in value.split(b",")
    )
    return _NAMES | (options - end_to_end)
