"""Finds the objects of a store's response whose brackets don't match.

Such a response can't be separated from the outside in. Each object of the store
begins in the same way, so that the sound ones can be found by their beginnings.
"""

import re

import msgspec

from bronzeslip.decoding import errors
from bronzeslip.decoding import json_parts

OBJECT_START = re.compile(rb'[\[,]\s*+(?=\{\s*+"metadata"\s*+:)')
CHANGE_START = re.compile(
    rb'[\[,]\s*+(?=\{\s*+(?:"removed"\s*+:[^"{},]*+,\s*+)?"object"\s*+:)'
)

_REVISION = re.compile(rb'"as_of"\s*+:\s*+([0-9]{1,16})(?![0-9])')
_TRUNCATED = re.compile(rb'"truncated"\s*+:\s*+true')


class SeparatedResponse(msgspec.Struct, frozen=True):
    """Parts of a response, not decoded yet.

    Attributes:
        elements: Objects or changes.
        as_of: Revision of the store.
        truncated: Whether more elements follow.
    """

    elements: list[bytes]
    as_of: bytes
    truncated: bytes


def salvage(body: bytes, start: re.Pattern[bytes]) -> SeparatedResponse:
    """Finds the elements of a response.

    Args:
        body: The response.
        start: What precedes each element.

    Raises:
        errors.UndecodableError: If it holds no element or no revision.
    """
    starts = [match.end() for match in start.finditer(body)]
    if not starts:
        raise errors.UndecodableError("no object found")
    elements: list[bytes] = []
    end = starts[-1]
    for begin, limit in zip(starts, [*starts[1:], len(body)], strict=True):
        try:
            element = json_parts.container(body[begin:limit])
        except errors.UndecodableError:
            continue
        elements.append(element)
        end = begin + len(element)
    around = (body[: starts[0]], body[end:])
    revisions = [_REVISION.findall(part) for part in around]
    found = revisions[1][-1:] or revisions[0][:1]
    if not found:
        raise errors.UndecodableError("no revision found")
    is_truncated = any(_TRUNCATED.search(part) for part in around)
    return SeparatedResponse(
        elements, found[0], b"true" if is_truncated else b"false"
    )
