"""Client of the platform's object store."""

from collections.abc import Callable
from typing import Any

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.settings import entry
from bronzeslip.store import errors
from bronzeslip.store import objects

_MS_PER_S = 1000
_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_GONE_STATUS = 410
_TOO_LARGE_STATUS = 413
_TOO_MANY_REQUESTS_STATUS = 429


class _Metadata(msgspec.Struct):
    name: str
    # Revision of the object's last change.
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[_Object]
    as_of: int
    truncated: bool = False


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    as_of: int


class StoreClient:
    """Calls the store; every method may raise errors.PlatformError.

    The part of a key before the first slash is the kind of the object, the
    rest is its name.
    """

    def __init__(
        self,
        address: vm_config.SocketAddress,
        settings: entry.EntrySettings,
        on_call: Callable[[str, str], None],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client.

        Args:
            address: Address of the store.
            settings: Settings with the timeout of calls.
            on_call: Called after each call with the HTTP method and the
                status code or the name of the exception.
            transport: Transport to use instead of TCP, for tests.
        """
        self._on_call = on_call
        self._timeout_s = settings.store_timeout_s
        self._http = httpx.AsyncClient(
            base_url=f"http://{address.host}:{address.port}",
            timeout=settings.store_timeout_s,
            transport=transport,
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections to the store."""
        await self._http.aclose()

    async def get(self, key: ids.ObjectKey) -> objects.PlatformObject | None:
        """Reads an object; returns None if it does not exist."""
        response = await self._call("GET", f"/objects/{key}")
        if response.status_code == _NOT_FOUND_STATUS:
            return None
        return _object(_kind_of(key), _decode(response, _Object))

    async def list_objects(
        self, prefix: str, may_be_stale: bool = False
    ) -> objects.ObjectList:
        """Reads all objects of a kind.

        Args:
            prefix: The kind, followed by a slash.
            may_be_stale: Whether the result may be some seconds old, which is
                cheaper for the store.
        """
        kind = _kind_of(prefix)
        stored: list[objects.PlatformObject] = []
        after: str | None = None
        version = None
        while True:
            params = {"stale_ok": "1"} if may_be_stale else {}
            if after is not None:
                params["after"] = after
            response = await self._call(
                "GET", f"/objects/{kind}", params=params
            )
            page = _decode(response, _Page)
            # The version of the first page: changes made while later pages
            # are read are then repeated by the watch.
            version = page.as_of if version is None else version
            stored += [_object(kind, item) for item in page.items]
            if not page.truncated or not page.items:
                break
            after = page.items[-1].metadata.name
        return objects.ObjectList(ids.ObjectVersion(version), tuple(stored))

    async def watch(
        self, prefix: str, after: ids.ObjectVersion, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for changes to objects of a kind.

        Raises:
            errors.WatchExpiredError: If the store no longer has the changes
                since that version; the caller must list the objects again.
        """
        kind = _kind_of(prefix)
        response = await self._call(
            "GET",
            f"/objects/{kind}",
            params={"watch": after, "wait_ms": round(wait_s * _MS_PER_S)},
            timeout=wait_s + self._timeout_s,
        )
        batch = _decode(response, _Events)
        return objects.WatchBatch(
            ids.ObjectVersion(batch.as_of),
            tuple(_event(kind, event) for event in batch.events),
        )

    async def create(
        self, key: ids.ObjectKey, value: Any
    ) -> objects.PlatformObject:
        """Creates an object that must not exist yet."""
        kind = _kind_of(key)
        body = {"metadata": {"name": _name_of(key)}, "spec": value}
        response = await self._write("POST", f"/objects/{kind}", body)
        return _object(kind, _decode(response, _Object))

    async def update(
        self, key: ids.ObjectKey, value: Any, version: ids.ObjectVersion
    ) -> objects.PlatformObject:
        """Replaces an object if it is at the given version."""
        metadata = {"name": _name_of(key), "revision": version}
        response = await self._write(
            "PUT", f"/objects/{key}", {"metadata": metadata, "spec": value}
        )
        return _object(_kind_of(key), _decode(response, _Object))

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> None:
        """Deletes an object if it is at the given version."""
        await self._call(
            "DELETE", f"/objects/{key}", params={"revision": version}
        )

    async def _write(self, method: str, path: str, body: Any) -> httpx.Response:
        return await self._call(
            method,
            path,
            content=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )

    async def _call(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response:
        try:
            response = await self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            self._on_call(method, type(error).__name__)
            raise errors.PlatformUnavailableError(
                f"{method} {path}: {type(error).__name__}"
            ) from error
        self._on_call(method, str(response.status_code))
        _raise_for_status(method, path, response.status_code)
        return response


def _kind_of(key: str) -> str:
    return key.partition("/")[0]


def _name_of(key: str) -> str:
    return key.partition("/")[2]


def _object(kind: str, stored: _Object) -> objects.PlatformObject:
    return objects.PlatformObject(
        ids.ObjectKey(f"{kind}/{stored.metadata.name}"),
        ids.ObjectVersion(stored.metadata.revision),
        stored.spec,
    )


def _event(kind: str, event: _Event) -> objects.ObjectEvent:
    stored = _object(kind, event.object)
    change = objects.EventKind.PUT
    if event.removed:
        change = objects.EventKind.DELETE
    return objects.ObjectEvent(change, stored.key, stored.version, stored.value)


def _raise_for_status(method: str, path: str, status: int) -> None:
    if status < httpx.codes.BAD_REQUEST or status == _NOT_FOUND_STATUS:
        return
    text = f"{method} {path}: status {status}"
    if status == _CONFLICT_STATUS:
        raise errors.VersionConflictError(text)
    if status == _GONE_STATUS:
        raise errors.WatchExpiredError(text)
    if status == _TOO_LARGE_STATUS:
        raise errors.ValueTooLargeError(text)
    if (
        status == _TOO_MANY_REQUESTS_STATUS
        or status >= httpx.codes.INTERNAL_SERVER_ERROR
    ):
        raise errors.PlatformUnavailableError(text)
    raise errors.PlatformError(text)


def _decode(response: httpx.Response, response_type: type) -> Any:
    try:
        return msgspec.json.decode(response.content, type=response_type)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"invalid response from the store: {error}"
        ) from error
