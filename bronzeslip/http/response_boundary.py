"""Recognition of heads that are made up of two responses.

A faulty server may send a response once more and stop inside its head. The next
response then follows without a boundary, and its status line is parsed as part
of the reason phrase or of a field. Such a head has the status of one response
and the fields and the body of another.
"""

from collections.abc import Iterable
import re

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def is_merged(
    reason_phrase: bytes, fields: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Returns whether a head contains the status line of another response.

    Args:
        reason_phrase: Reason phrase of the head.
        fields: Names and values of its fields.
    """
    if _STATUS_LINE.search(reason_phrase):
        return True
    return any(_STATUS_LINE.search(value) for _, value in fields)
