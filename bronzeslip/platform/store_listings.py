"""Decodes listings and changes that contain objects of any writer."""

from collections.abc import Callable
import contextlib
import re
from typing import Any
from typing import TypeVar

import msgspec

from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import json_parts
from bronzeslip.decoding import untrusted
from bronzeslip.platform import store_messages
from bronzeslip.platform import store_salvage
from bronzeslip.store import errors

logger = logs.get_logger(__name__)

PartT = TypeVar("PartT")


class _Name(msgspec.Struct):
    """Metadata of an object without what may be undecodable."""

    name: str


class _ListMember(msgspec.Struct, frozen=True):
    """Member of a response that lists objects or changes.

    Attributes:
        name: Name of the member.
        element_start: What precedes each element.
        convert: Decodes the separated response.
    """

    name: str
    element_start: re.Pattern[bytes]
    convert: Callable[[store_salvage.SeparatedResponse], Any]


def decode_page(answer: store_messages.Answer) -> store_messages.Page:
    """Decodes a part of a listing.

    Objects whose metadata can't be decoded are left out.

    Raises:
        errors.PlatformError: If the response is not a part of a listing.
    """
    return _decode(
        answer.body,
        store_messages.Page,
        _ListMember("items", store_salvage.OBJECT_START, _to_page),
    )


def decode_events(answer: store_messages.Answer) -> store_messages.Events:
    """Decodes changes.

    Changes of objects whose metadata can't be decoded are left out.

    Raises:
        errors.PlatformError: If the response is not a list of changes.
    """
    return _decode(
        answer.body,
        store_messages.Events,
        _ListMember("events", store_salvage.CHANGE_START, _to_events),
    )


def decode_object(answer: store_messages.Answer) -> store_messages.StoredObject:
    """Decodes the metadata of one object; its value may be undecodable.

    Raises:
        errors.PlatformError: If the response is not an object.
    """
    try:
        return _decode_object(answer.body)
    except decoding_errors.UndecodableError as error:
        raise errors.PlatformError(
            f"invalid response from the store: {error.message}"
        ) from error


def _decode(
    body: bytes, message_type: type[PartT], member: _ListMember
) -> PartT:
    with contextlib.suppress(decoding_errors.UndecodableError):
        return untrusted.from_json(body, message_type)
    # An object can't be decoded, or the response is not valid at all.
    try:
        return member.convert(_separate(body, member))
    except decoding_errors.UndecodableError as error:
        raise errors.PlatformError(
            f"invalid response from the store: {error.message}"
        ) from error


def _separate(
    body: bytes, member: _ListMember
) -> store_salvage.SeparatedResponse:
    try:
        members = json_parts.members(body)
        return store_salvage.SeparatedResponse(
            json_parts.elements(members.get(member.name, b"")),
            members.get("as_of", b""),
            members.get("truncated", b"false"),
        )
    except decoding_errors.UndecodableError:
        return store_salvage.salvage(body, member.element_start)


def _to_page(
    separated: store_salvage.SeparatedResponse,
) -> store_messages.Page:
    return store_messages.Page(
        _decode_each(separated.elements, _decode_object),
        untrusted.from_json(separated.as_of, store_messages.RevisionNumber),
        untrusted.from_json(separated.truncated, bool),
        _last_name(separated.elements),
    )


def _last_name(elements: list[bytes]) -> str | None:
    for element in reversed(elements):
        with contextlib.suppress(decoding_errors.UndecodableError):
            metadata = json_parts.members(element).get("metadata", b"")
            return untrusted.from_json(metadata, _Name).name
    return None


def _to_events(
    separated: store_salvage.SeparatedResponse,
) -> store_messages.Events:
    return store_messages.Events(
        _decode_each(separated.elements, _decode_event),
        untrusted.from_json(separated.as_of, store_messages.RevisionNumber),
    )


def _decode_each(
    elements: list[bytes], decode: Callable[[bytes], PartT]
) -> list[PartT]:
    """Decodes the elements of an array, without those that are undecodable."""
    decoded: list[PartT] = []
    for element in elements:
        try:
            decoded.append(decode(element))
        except decoding_errors.UndecodableError as error:
            logger.warning("platform.unreadable_object", reason=error.message)
    return decoded


def _decode_object(element: bytes) -> store_messages.StoredObject:
    """Decodes the metadata of an object; its value may be undecodable."""
    members = json_parts.members(element)
    return store_messages.StoredObject(
        untrusted.from_json(
            members.get("metadata", b""), store_messages.Metadata
        ),
        msgspec.Raw(members.get("spec", b"null")),
    )


def _decode_event(element: bytes) -> store_messages.Event:
    members = json_parts.members(element)
    return store_messages.Event(
        _decode_object(members.get("object", b"")),
        untrusted.from_json(members.get("removed", b"false"), bool),
    )
