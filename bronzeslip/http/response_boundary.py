"""Recognition of heads that are made up of two responses.

A faulty server may send a response once more and stop inside its head. The next
response then follows without a boundary, and its status line is parsed as part
of the reason phrase or of a field. Such a head has the status of one response
and the fields and the body of another.
"""

from collections.abc import Iterable
import re

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# Length of what is recognised as a status line, in bytes.
STATUS_LINE_BYTES = len(b"HTTP/1.1 200")


def is_merged(
    reason_phrase: bytes, fields: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Returns whether a head contains the status line of another response.

    Args:
        reason_phrase: Reason phrase of the head.
        fields: Names and values of its fields.
    """
    if contains_status_line(reason_phrase):
        return True
    return any(contains_status_line(value) for _, value in fields)


def contains_status_line(data: bytes) -> bool:
    """Returns whether bytes contain the status line of a response."""
    return _STATUS_LINE.search(data) is not None
