"""Messages of the platform's object store."""

from typing import Any

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip.platform import store_era
from bronzeslip.store import errors
from bronzeslip.store import objects


class Metadata(msgspec.Struct):
    """Metadata of a stored object.

    Attributes:
        name: Name, unique within its kind.
        revision: Revision of the store at the object's last change.
    """

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct):
    """Object as the store holds it.

    Attributes:
        metadata: Its metadata.
        spec: Its value as JSON.
    """

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct):
    """Part of a listing.

    Attributes:
        items: Objects.
        as_of: Revision of the store.
        truncated: Whether more objects follow.
    """

    items: list[StoredObject]
    as_of: int
    truncated: bool = False


class Event(msgspec.Struct):
    """Change to an object.

    Attributes:
        object: The object after the change.
        removed: Whether it was removed.
    """

    object: StoredObject
    removed: bool = False


class Events(msgspec.Struct):
    """Answer to a watch.

    Attributes:
        events: Changes, in order.
        as_of: Revision from which to continue.
    """

    events: list[Event]
    as_of: int


class Answer(msgspec.Struct, frozen=True):
    """Complete response of the store.

    Attributes:
        status: HTTP status.
        body: Body.
        era: Era of the store that gave it.
    """

    status: int
    body: bytes
    era: int


def decode(answer: Answer, message_type: type) -> Any:
    """Decodes the body of an answer.

    Raises:
        errors.PlatformError: If it is not a message of that type.
    """
    try:
        return msgspec.json.decode(answer.body, type=message_type)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"invalid response from the store: {error}"
        ) from error


def to_object(
    kind: str, stored: StoredObject, era: int
) -> objects.PlatformObject:
    """Converts an object of a kind that was read in an era."""
    return objects.PlatformObject(
        ids.ObjectKey(f"{kind}/{stored.metadata.name}"),
        store_era.version_of(era, stored.metadata.revision),
        stored.spec,
    )


def to_event(kind: str, event: Event, era: int) -> objects.ObjectEvent:
    """Converts a change to an object of a kind that was read in an era."""
    stored = to_object(kind, event.object, era)
    change = objects.EventKind.PUT
    if event.removed:
        change = objects.EventKind.DELETE
    return objects.ObjectEvent(change, stored.key, stored.version, stored.value)


def raise_for_status(method: str, path: str, status: int) -> None:
    """Raises the error for a status; 404 is left to the caller.

    Raises:
        errors.PlatformError: If the status is an error.
    """
    if status < httpx.codes.BAD_REQUEST or status == httpx.codes.NOT_FOUND:
        return
    text = f"{method} {path}: status {status}"
    if status == httpx.codes.CONFLICT:
        raise errors.VersionConflictError(text)
    if status == httpx.codes.GONE:
        raise errors.WatchExpiredError(text)
    if status == httpx.codes.REQUEST_ENTITY_TOO_LARGE:
        raise errors.ValueTooLargeError(text)
    if (
        status == httpx.codes.TOO_MANY_REQUESTS
        or status >= httpx.codes.INTERNAL_SERVER_ERROR
    ):
        raise errors.PlatformUnavailableError(text)
    raise errors.PlatformError(text)
