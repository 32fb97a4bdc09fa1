"""Separates the parts of JSON without decoding them.

A decoder rejects a document as a whole if one of its parts can't be decoded.
Separated first, the other parts can still be decoded.
"""

from collections.abc import Iterator
import re

from bronzeslip.decoding import errors
from bronzeslip.decoding import untrusted

_WHITESPACE = b" \t\r\n"
# Possessive quantifiers keep the time linear.
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_FLAT_CONTAINER = rb'[\[{](?:[^"\[\]{}]++|%s)*+[\]}]' % _STRING
# What can be skipped outside and inside of brackets.
_OUTER = re.compile(
    rb'(?:[^"\[\]{},]++|%s|%s)*+' % (_STRING, _FLAT_CONTAINER), re.DOTALL
)
_INNER = re.compile(
    rb'(?:[^"\[\]{}]++|%s|%s)*+' % (_STRING, _FLAT_CONTAINER), re.DOTALL
)
_BRACKETS = re.compile(rb"[\[{]++|[\]}]++")
_MEMBER = re.compile(rb"\s*+(%s)\s*+:(.*)\Z" % _STRING, re.DOTALL)


def elements(array: bytes) -> list[bytes]:
    """Separates the elements of an array.

    Raises:
        errors.UndecodableError: If it is not an array or its brackets don't
            match.
    """
    return list(_parts(_content(array, b"[", b"]")))


def members(document: bytes) -> dict[str, bytes]:
    """Separates the members of an object by name.

    Members whose names can't be decoded are left out.

    Raises:
        errors.UndecodableError: If it is not an object or its brackets don't
            match.
    """
    values: dict[str, bytes] = {}
    for part in _parts(_content(document, b"{", b"}")):
        match = _MEMBER.match(part)
        if match is None:
            continue
        try:
            name = untrusted.from_json(match[1], str)
        except errors.UndecodableError:
            continue
        values[name] = match[2]
    return values


def container(data: bytes) -> bytes:
    """Returns the container that the data begins with.

    Raises:
        errors.UndecodableError: If it does not end.
    """
    return data[: _closing_position(data, 0, may_be_followed=True)]


def _content(data: bytes, opening: bytes, closing: bytes) -> bytes:
    stripped = data.strip(_WHITESPACE)
    is_enclosed = stripped[:1] == opening and stripped[-1:] == closing
    if not is_enclosed or len(stripped) < len(opening) + len(closing):
        raise errors.UndecodableError(
            f"not enclosed in {opening.decode()}{closing.decode()}"
        )
    return stripped[1:-1]


def _parts(content: bytes) -> Iterator[bytes]:
    """Yields what the commas outside of strings and brackets separate."""
    start = position = 0
    while True:
        position = _OUTER.match(content, position).end()
        following = content[position : position + 1]
        if following in (b"", b","):
            part = content[start:position]
            if following or start or part.strip(_WHITESPACE):
                yield part
            if not following:
                return
            start = position = position + 1
        else:
            position = _closing_position(content, position)


def _closing_position(
    content: bytes, position: int, may_be_followed: bool = False
) -> int:
    """Returns the end of the container that begins at a position.

    Args:
        content: Content of the enclosing container.
        position: Position of the container.
        may_be_followed: Whether closing brackets that belong to no container
            in the content may follow.
    """
    depth = 0
    while True:
        brackets = _BRACKETS.match(content, position)
        if brackets is None:
            raise errors.UndecodableError("unterminated string or container")
        length = brackets.end() - position
        is_opening = brackets[0][:1] in b"[{"
        depth += length if is_opening else -length
        if depth < 0 and may_be_followed:
            return brackets.end() + depth
        if depth < 0:
            raise errors.UndecodableError("brackets don't match")
        position = brackets.end()
        if depth == 0:
            return position
        position = _INNER.match(content, position).end()
