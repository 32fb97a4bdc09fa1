"""HTTP application of the platform stand-in."""

import asyncio
import collections
from typing import Any

import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.store import objects
from standins.platform import faults
from standins.platform import hold_point
from standins.platform import store
from standins.platform import vm_list
from standins.platform import weight_store

_JSON = "application/json"


class PlatformStandin:
    """Objects, VMs, weights and faults of the platform, and its routes."""

    def __init__(
        self, vm_lag_s: float = 5.0, weight_rate_bytes_per_s: float = 1e9
    ) -> None:
        self.store = store.ObjectStore()
        self.vms = vm_list.VmList(vm_lag_s)
        self.weights = weight_store.WeightStore(weight_rate_bytes_per_s)
        self.faults = faults.Faults()
        self.hold = hold_point.HoldPoint()
        self.calls: collections.Counter[str] = collections.Counter()

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.get("/objects/{key:path}")(self._get),
                litestar.put("/objects/{key:path}", status_code=200)(self._put),
                litestar.delete("/objects/{key:path}", status_code=200)(
                    self._delete
                ),
                litestar.get("/objects")(self._list),
                litestar.get("/watch")(self._watch),
                litestar.get("/vms")(self._list_vms),
                litestar.put("/vms/{vm_id:str}", status_code=200)(self._set_vm),
                litestar.delete("/vms/{vm_id:str}", status_code=200)(
                    self._delete_vm
                ),
                litestar.post("/weights/acquire", status_code=200)(
                    self._acquire_weights
                ),
                litestar.post("/standin/faults", status_code=200)(
                    self._set_faults
                ),
                litestar.get("/standin/calls")(self._get_calls),
                litestar.post("/standin/hold", status_code=200)(self._set_hold),
                litestar.get("/standin/held")(self._get_held_count),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _get(self, key: str) -> litestar.Response:
        await self.hold.wait_while_held("get", key.lstrip("/"), False)
        if not await self._accept_call("get"):
            return _empty_response(503)
        platform_object = self.store.get(key.lstrip("/"))
        return (
            _empty_response(404)
            if platform_object is None
            else _json_response(platform_object)
        )

    async def _list(self, prefix: str) -> litestar.Response:
        if not await self._accept_call("list"):
            return _empty_response(503)
        return _json_response(self.store.list_objects(prefix))

    async def _put(
        self, key: str, request: litestar.Request
    ) -> litestar.Response:
        await self.hold.wait_while_held("put", key.lstrip("/"), False)
        if not await self._accept_call("put"):
            return _empty_response(503)
        value = await request.body()
        if len(value) > store.MAX_VALUE_BYTES:
            return _empty_response(413)
        expected_version = request.headers.get("if-match")
        try:
            stored_object = await self.store.put(
                key.lstrip("/"),
                value,
                int(expected_version) if expected_version else None,
            )
        except store.ConflictError:
            return _empty_response(412)
        await self.hold.wait_while_held("put", key.lstrip("/"), True)
        if self._drops_response():
            return _empty_response(504)
        return _json_response(stored_object)

    async def _delete(
        self, key: str, request: litestar.Request
    ) -> litestar.Response:
        if not await self._accept_call("delete"):
            return _empty_response(503)
        expected_version = int(request.headers.get("if-match", "0"))
        try:
            await self.store.delete(key.lstrip("/"), expected_version)
        except store.ConflictError:
            return _empty_response(412)
        return (
            _empty_response(504)
            if self._drops_response()
            else _empty_response(200)
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> litestar.Response:
        if not await self._accept_call("watch"):
            return _empty_response(503)
        try:
            return _json_response(await self.store.watch(prefix, after, wait_s))
        except store.ExpiredError:
            return _empty_response(410)

    async def _list_vms(self) -> litestar.Response:
        if not await self._accept_call("vms"):
            return _empty_response(503)
        return _json_response(self.vms.entries())

    async def _set_vm(
        self, vm_id: str, request: litestar.Request
    ) -> litestar.Response:
        entry = msgspec.json.decode(await request.body(), type=objects.VmEntry)
        self.vms.set(ids.VmId(vm_id), entry)
        return _empty_response(200)

    async def _delete_vm(self, vm_id: str) -> litestar.Response:
        self.vms.set(ids.VmId(vm_id), None)
        return _empty_response(200)

    async def _acquire_weights(self, size_bytes: int) -> litestar.Response:
        if not await self._accept_call("weights"):
            return _empty_response(503)
        return _json_response(self.weights.acquire(size_bytes))

    async def _set_faults(self, request: litestar.Request) -> litestar.Response:
        self.faults = msgspec.json.decode(
            await request.body(), type=faults.Faults
        )
        return _empty_response(200)

    async def _set_hold(self, request: litestar.Request) -> litestar.Response:
        await self.hold.set(
            msgspec.json.decode(await request.body(), type=faults.Hold | None)
        )
        return _empty_response(200)

    async def _get_held_count(self) -> litestar.Response:
        return _json_response(self.hold.held_count)

    async def _get_calls(self) -> litestar.Response:
        return _json_response(dict(self.calls))

    async def _accept_call(self, call: str) -> bool:
        self.calls[call] += 1
        if self.faults.mode is faults.FaultMode.SLOW:
            await asyncio.sleep(self.faults.delay_s)
        return self.faults.mode is not faults.FaultMode.OUTAGE

    def _drops_response(self) -> bool:
        if self.faults.mode is not faults.FaultMode.LOST_ANSWER:
            return False
        if self.faults.write_count > 0:
            self.faults.write_count -= 1
            if self.faults.write_count == 0:
                self.faults = faults.Faults()
        return True


def _json_response(value: Any) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), media_type=_JSON, status_code=200
    )


def _empty_response(status: int) -> litestar.Response:
    return litestar.Response(b"", status_code=status, media_type=_JSON)
