"""Messages of the platform's object store."""

from typing import Annotated
from typing import Any

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.platform import store_era
from bronzeslip.store import errors
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

_MAX_LOGGED_CHARS = 100

RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=store_era.MAX_REVISION)]


class Metadata(msgspec.Struct):
    """Metadata of a stored object.

    Attributes:
        name: Name, unique within its kind.
        revision: Revision of the store at the object's last change.
    """

    name: str
    revision: RevisionNumber = 0


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
        last_name: Last name of an object that can be read, also if the object
            is left out, or None.
    """

    items: list[StoredObject]
    as_of: RevisionNumber
    truncated: bool = False
    last_name: str | None = None

    def __post_init__(self) -> None:
        if self.last_name is None and self.items:
            self.last_name = self.items[-1].metadata.name


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
    as_of: RevisionNumber


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
        return untrusted.from_json(answer.body, message_type)
    except decoding_errors.UndecodableError as error:
        raise errors.PlatformError(
            f"invalid response from the store: {error.message}"
        ) from error


def to_object(
    kind: str,
    stored: StoredObject,
    era: int,
    max_value_bytes: int | None = None,
) -> objects.PlatformObject:
    """Converts an object of a kind that was read in an era.

    Args:
        kind: Kind of the object.
        stored: The object.
        era: Era of the store.
        max_value_bytes: Size above which a value is replaced by null, in
            bytes, or None.
    """
    key = ids.ObjectKey(f"{kind}/{stored.metadata.name}")
    size_bytes = len(memoryview(stored.spec))
    if max_value_bytes is not None and size_bytes > max_value_bytes:
        logger.warning(
            "platform.value_too_large",
            key=key[:_MAX_LOGGED_CHARS],
            size_bytes=size_bytes,
        )
        value = msgspec.Raw(b"null")
    else:
        # The value itself would keep the whole response in memory.
        value = stored.spec.copy()
    version = store_era.version_of(era, stored.metadata.revision)
    return objects.PlatformObject(key, version, value)


def to_event(
    kind: str, event: Event, era: int, max_value_bytes: int | None = None
) -> objects.ObjectEvent:
    """Converts a change to an object of a kind that was read in an era.

    Args:
        kind: Kind of the object.
        event: The change.
        era: Era of the store.
        max_value_bytes: Size above which a value is replaced by null, in
            bytes, or None.
    """
    stored = to_object(kind, event.object, era, max_value_bytes)
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
