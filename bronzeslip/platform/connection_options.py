"""Headers that the Connection header makes apply to one connection only."""

from collections.abc import Iterable

from bronzeslip.platform import headers


def named_in(fields: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Returns the names in the Connection headers, in lower case.

    Args:
        fields: Names, in lower case, and values of the fields of a head.
    """
    return frozenset(
        token.strip().lower()
        for name, value in fields
        if name == headers.CONNECTION
        for token in value.split(b",")
    )
