"""Check of the field values of heads."""

from collections.abc import Iterable
import re

# RFC 9110, section 5.5. The tab is allowed.
_FORBIDDEN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def are_valid(fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether no field value contains a control character.

    The HTTP client accepts some, but no server may pass them on.

    Args:
        fields: Names and values of the fields.
    """
    return not any(_FORBIDDEN.search(value) for _, value in fields)
