"""Fields of responses as text, decoded as those of requests are."""

from collections.abc import Iterable

_ENCODING = "latin-1"


def text_of(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Returns the values of a field, separated by commas, or None.

    Args:
        fields: Names and values of the fields of a head.
        name: Name of the field, in lower case.
    """
    values = [
        value.decode(_ENCODING)
        for field_name, value in fields
        if field_name.lower() == name
    ]
    return ", ".join(values) if values else None
