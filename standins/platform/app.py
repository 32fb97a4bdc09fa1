"""HTTP application of the platform stand-in."""

import asyncio
import collections
from typing import Any

import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.store import objects
from standins.platform import faults
from standins.platform import holding
from standins.platform import store
from standins.platform import vm_list
from standins.platform import weight_store

_JSON = "application/json"


class PlatformStandin:
    """State of the stand-in and its routes."""

    def __init__(
        self, vm_lag_s: float = 5.0, weight_rate_bytes_per_s: float = 1e9
    ) -> None:
        self.store = store.ObjectStore()
        self.vms = vm_list.VmList(vm_lag_s)
        self.weights = weight_store.WeightStore(weight_rate_bytes_per_s)
        self.faults = faults.Faults()
        self.hold = holding.HoldPoint()
        self.calls: collections.Counter[str] = collections.Counter()

    def app(self) -> litestar.Litestar:
        """Creates the application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.get("/objects/{key:path}")(self._get),
                litestar.put("/objects/{key:path}", status_code=200)(self._put),
                litestar.delete("/objects/{key:path}", status_code=200)(
                    self._delete
                ),
                litestar.get("/objects")(self._list),
                litestar.get("/watch")(self._watch),
                litestar.get("/vms")(self._vms),
                litestar.put("/vms/{vm_id:str}", status_code=200)(self._set_vm),
                litestar.delete("/vms/{vm_id:str}", status_code=200)(
                    self._delete_vm
                ),
                litestar.post("/weights/acquire", status_code=200)(
                    self._acquire
                ),
                litestar.post("/standin/faults", status_code=200)(
                    self._set_faults
                ),
                litestar.get("/standin/calls")(self._calls),
                litestar.post("/standin/hold", status_code=200)(self._set_hold),
                litestar.get("/standin/held")(self._held),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _get(self, key: str) -> litestar.Response:
        await self.hold.passing("get", key.lstrip("/"), False)
        if not await self._admit("get"):
            return _status(503)
        found = self.store.get(key.lstrip("/"))
        return _status(404) if found is None else _json(found)

    async def _list(self, prefix: str) -> litestar.Response:
        if not await self._admit("list"):
            return _status(503)
        return _json(self.store.list_objects(prefix))

    async def _put(
        self, key: str, request: litestar.Request
    ) -> litestar.Response:
        await self.hold.passing("put", key.lstrip("/"), False)
        if not await self._admit("put"):
            return _status(503)
        value = await request.body()
        if len(value) > store.MAX_VALUE_BYTES:
            return _status(413)
        expected = request.headers.get("if-match")
        try:
            stored = await self.store.put(
                key.lstrip("/"), value, int(expected) if expected else None
            )
        except store.ConflictError:
            return _status(412)
        await self.hold.passing("put", key.lstrip("/"), True)
        if self._loses_answer():
            return _status(504)
        return _json(stored)

    async def _delete(
        self, key: str, request: litestar.Request
    ) -> litestar.Response:
        if not await self._admit("delete"):
            return _status(503)
        expected = int(request.headers.get("if-match", "0"))
        try:
            await self.store.delete(key.lstrip("/"), expected)
        except store.ConflictError:
            return _status(412)
        return _status(504) if self._loses_answer() else _status(200)

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> litestar.Response:
        if not await self._admit("watch"):
            return _status(503)
        try:
            return _json(await self.store.watch(prefix, after, wait_s))
        except store.ExpiredError:
            return _status(410)

    async def _vms(self) -> litestar.Response:
        if not await self._admit("vms"):
            return _status(503)
        return _json(self.vms.entries())

    async def _set_vm(
        self, vm_id: str, request: litestar.Request
    ) -> litestar.Response:
        entry = msgspec.json.decode(await request.body(), type=objects.VmEntry)
        self.vms.set(ids.VmId(vm_id), entry)
        return _status(200)

    async def _delete_vm(self, vm_id: str) -> litestar.Response:
        self.vms.set(ids.VmId(vm_id), None)
        return _status(200)

    async def _acquire(self, size_bytes: int) -> litestar.Response:
        if not await self._admit("weights"):
            return _status(503)
        return _json(self.weights.acquire(size_bytes))

    async def _set_faults(self, request: litestar.Request) -> litestar.Response:
        self.faults = msgspec.json.decode(
            await request.body(), type=faults.Faults
        )
        return _status(200)

    async def _set_hold(self, request: litestar.Request) -> litestar.Response:
        await self.hold.set(
            msgspec.json.decode(await request.body(), type=faults.Hold | None)
        )
        return _status(200)

    async def _held(self) -> litestar.Response:
        return _json(self.hold.held_count)

    async def _calls(self) -> litestar.Response:
        return _json(dict(self.calls))

    async def _admit(self, call: str) -> bool:
        self.calls[call] += 1
        if self.faults.mode is faults.FaultMode.SLOW:
            await asyncio.sleep(self.faults.delay_s)
        return self.faults.mode is not faults.FaultMode.OUTAGE

    def _loses_answer(self) -> bool:
        if self.faults.mode is not faults.FaultMode.LOST_ANSWER:
            return False
        if self.faults.write_count > 0:
            self.faults.write_count -= 1
            if self.faults.write_count == 0:
                self.faults = faults.Faults()
        return True


def _json(value: Any) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), media_type=_JSON, status_code=200
    )


def _status(status: int) -> litestar.Response:
    return litestar.Response(b"", status_code=status, media_type=_JSON)
