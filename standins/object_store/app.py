"""HTTP application of the store."""

import asyncio
import enum
from typing import Any

import litestar
import msgspec

from standins.object_store import store
from standins.object_store import stored

_JSON = "application/json"
_MS_PER_S = 1000


class Trouble(enum.Enum):
    """What calls meet, those of watches too."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"


class StoreStandin:
    """The store's routes, and what a test may do to it."""

    def __init__(self) -> None:
        self._store = store.ObjectStore()
        self._trouble = Trouble.NONE

    def app(self) -> litestar.Litestar:
        """Creates the application."""
        one = "/objects/{kind:str}/{name:str}"
        return litestar.Litestar(
            route_handlers=[
                litestar.get("/objects/{kind:str}")(self._list),
                litestar.post("/objects/{kind:str}", status_code=200)(
                    self._create
                ),
                litestar.get(one)(self._get),
                litestar.put(one, status_code=200)(self._replace),
                litestar.delete(one, status_code=200)(self._remove),
                litestar.post("/standin/trouble/{name:str}", status_code=200)(
                    self._set_trouble
                ),
                litestar.post("/standin/forget", status_code=200)(self._forget),
            ],
            before_request=self._meet_trouble,
            exception_handlers={
                store.ConflictError: _conflict,
                store.MissingError: lambda _, __: _status(404),
                store.HistoryGoneError: lambda _, __: _status(410),
            },
            openapi_config=None,
            logging_config=None,
        )

    async def _meet_trouble(
        self, request: litestar.Request
    ) -> litestar.Response | None:
        if request.url.path.startswith("/standin/"):
            return None
        if self._trouble is Trouble.SILENT:
            await asyncio.get_running_loop().create_future()
        if self._trouble is Trouble.BUSY:
            return _status(503)
        return None

    async def _list(
        self, kind: str, watch: int | None = None, wait_ms: int = 0
    ) -> litestar.Response:
        if watch is None:
            listed = {
                "items": self._store.list_kind(kind),
                "truncated": False,
                "as_of": self._store.revision,
            }
            return _json(listed)
        changes = await self._store.changes(kind, watch, wait_ms / _MS_PER_S)
        events = [
            {"object": change.object, "removed": change.removed}
            for change in changes
        ]
        as_of = changes[-1].revision if changes else self._store.revision
        return _json({"events": events, "as_of": as_of})

    async def _get(self, kind: str, name: str) -> litestar.Response:
        return _json(self._store.get(kind, name))

    async def _create(
        self, kind: str, request: litestar.Request
    ) -> litestar.Response:
        return _json(await self._store.create(kind, await _body(request)))

    async def _replace(
        self, kind: str, name: str, request: litestar.Request
    ) -> litestar.Response:
        wanted = await _body(request)
        return _json(await self._store.replace(kind, name, wanted))

    async def _remove(
        self, kind: str, name: str, revision: int = 0
    ) -> litestar.Response:
        await self._store.remove(kind, name, revision)
        return _status(200)

    async def _set_trouble(self, name: str) -> litestar.Response:
        self._trouble = Trouble(name)
        return _status(200)

    async def _forget(self) -> litestar.Response:
        await self._store.forget_history()
        return _status(200)


async def _body(request: litestar.Request) -> stored.StoredObject:
    return msgspec.json.decode(await request.body(), type=stored.StoredObject)


def _conflict(
    _: litestar.Request, error: store.ConflictError
) -> litestar.Response:
    return _json(error.found, 409)


def _json(value: Any, status: int = 200) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), status_code=status, media_type=_JSON
    )


def _status(status: int) -> litestar.Response:
    return litestar.Response(b"{}", status_code=status, media_type=_JSON)
