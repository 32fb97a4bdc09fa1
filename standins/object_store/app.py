"""HTTP application of the object store stand-in."""

import asyncio
import collections
import enum
from typing import Any

import litestar
import msgspec

from standins.object_store import objects
from standins.object_store import store

_JSON = "application/json"
_MS_PER_S = 1000
_ERA_HEADER = b"store-era"


class FaultMode(enum.Enum):
    """Fault that affects every call to the store, including watches."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"


class StoreStandin:
    """Routes of the store and routes that inject faults."""

    def __init__(self) -> None:
        self._store = store.ObjectStore()
        self._fault_mode = FaultMode.NONE
        # How often the waiting watches of a kind were lost.
        self._watch_losses: collections.Counter[str] = collections.Counter()
        # Objects whose bytes are sent as they were written, by kind and name.
        self._raw_objects: dict[tuple[str, str], bytes] = {}

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        object_path = "/objects/{kind:str}/{name:str}"
        return litestar.Litestar(
            route_handlers=[
                litestar.get("/objects/{kind:str}")(self._list),
                litestar.post("/objects/{kind:str}", status_code=200)(
                    self._create
                ),
                litestar.get(object_path)(self._get),
                litestar.put(object_path, status_code=200)(self._replace),
                litestar.delete(object_path, status_code=200)(self._remove),
                litestar.post("/standin/trouble/{name:str}", status_code=200)(
                    self._set_fault_mode
                ),
                litestar.post("/standin/restore/{age_ms:int}", status_code=200)(
                    self._restore
                ),
                litestar.post(
                    "/standin/lose-watches/{kind:str}", status_code=200
                )(self._lose_watches),
                litestar.post("/standin/forget", status_code=200)(
                    self._compact
                ),
                litestar.put(
                    "/standin/raw/{kind:str}/{name:str}", status_code=200
                )(self._put_raw),
            ],
            before_request=self._apply_fault,
            before_send=[self._add_era],
            exception_handlers={
                store.ConflictError: _conflict_response,
                store.NotFoundError: lambda _, __: _empty_response(404),
                store.HistoryCompactedError: lambda _, __: _empty_response(410),
            },
            openapi_config=None,
            logging_config=None,
        )

    async def _apply_fault(
        self, request: litestar.Request
    ) -> litestar.Response | None:
        if request.url.path.startswith("/standin/"):
            return None
        if self._fault_mode is FaultMode.SILENT:
            await asyncio.get_running_loop().create_future()
        if self._fault_mode is FaultMode.BUSY:
            return _empty_response(503)
        return None

    async def _add_era(self, message: Any, _: Any) -> None:
        if message["type"] == "http.response.start":
            era = str(self._store.era).encode()
            message["headers"] = [*message["headers"], (_ERA_HEADER, era)]

    async def _list(
        self, kind: str, watch: int | None = None, wait_ms: int = 0
    ) -> litestar.Response:
        if watch is None:
            listing = {
                "items": [
                    self._rendered(kind, item)
                    for item in self._store.list_kind(kind)
                ],
                "truncated": False,
                "as_of": self._store.revision,
            }
            return _json_response(listing)
        losses = self._watch_losses[kind]
        changes = await self._store.changes(kind, watch, wait_ms / _MS_PER_S)
        if self._watch_losses[kind] != losses:
            await asyncio.get_running_loop().create_future()
        events = [
            {
                "object": self._rendered(kind, change.object),
                "removed": change.removed,
            }
            for change in changes
        ]
        as_of = changes[-1].revision if changes else self._store.revision
        return _json_response({"events": events, "as_of": as_of})

    async def _put_raw(
        self, kind: str, name: str, request: litestar.Request
    ) -> litestar.Response:
        """Writes an object whose bytes may be no valid object."""
        self._raw_objects[kind, name] = await request.body()
        number = str(len(self._raw_objects))
        await self._store.put_unconditionally(
            kind, objects.StoredObject(objects.Metadata(name), number)
        )
        return _empty_response(200)

    def _rendered(self, kind: str, stored: objects.StoredObject) -> Any:
        raw = self._raw_objects.get((kind, stored.metadata.name))
        return stored if raw is None else msgspec.Raw(raw)

    async def _get(self, kind: str, name: str) -> litestar.Response:
        return _json_response(self._store.get(kind, name))

    async def _create(
        self, kind: str, request: litestar.Request
    ) -> litestar.Response:
        return _json_response(
            await self._store.create(kind, await _decode_object(request))
        )

    async def _replace(
        self, kind: str, name: str, request: litestar.Request
    ) -> litestar.Response:
        replacement = await _decode_object(request)
        return _json_response(
            await self._store.replace(kind, name, replacement)
        )

    async def _remove(
        self, kind: str, name: str, revision: int = 0
    ) -> litestar.Response:
        await self._store.remove(kind, name, revision)
        return _empty_response(200)

    async def _set_fault_mode(self, name: str) -> litestar.Response:
        self._fault_mode = FaultMode(name)
        return _empty_response(200)

    async def _restore(self, age_ms: int) -> litestar.Response:
        await self._store.restore(age_ms / _MS_PER_S)
        return _empty_response(200)

    async def _lose_watches(self, kind: str) -> litestar.Response:
        """Never answers the watches of a kind that wait now."""
        self._watch_losses[kind] += 1
        return _empty_response(200)

    async def _compact(self) -> litestar.Response:
        await self._store.compact_history()
        return _empty_response(200)


async def _decode_object(request: litestar.Request) -> objects.StoredObject:
    return msgspec.json.decode(await request.body(), type=objects.StoredObject)


def _conflict_response(
    _: litestar.Request, error: store.ConflictError
) -> litestar.Response:
    return _json_response(error.current_object, 409)


def _json_response(value: Any, status: int = 200) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), status_code=status, media_type=_JSON
    )


def _empty_response(status: int) -> litestar.Response:
    return litestar.Response(b"{}", status_code=status, media_type=_JSON)
