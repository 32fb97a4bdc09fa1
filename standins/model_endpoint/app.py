"""HTTP application of the endpoint."""

import asyncio
from collections.abc import AsyncIterator
import os
import uuid

import litestar
from litestar import response
import msgspec

_ID = "bronzeslip-attempt-id"
_TARGET = "bronzeslip-target-instance"
_STREAM_TEXT = b"stream"
_CRASH_TEXT = b"crash"
_CRASH_STATUS = 70
EVENT_COUNT = 5
_EVENT_INTERVAL_S = 0.05


class EndpointStandin:
    """Answers calls and streams, and prints the id of each that it runs.

    A request whose body says so ends the process at once.

    While it holds, a call's answer begins only when it is let go; a stream has
    then sent its first event.
    """

    def __init__(self, endpoint_id: str) -> None:
        self._endpoint_id = endpoint_id
        self._may_end = asyncio.Event()
        self._may_end.set()

    def app(self) -> litestar.Litestar:
        """Creates the application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/{path:path}", status_code=200)(self._run),
                litestar.get("/report")(self._report),
                litestar.put("/standin/hold", status_code=200)(self._hold),
                litestar.put("/standin/release", status_code=200)(
                    self._release
                ),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _run(self, request: litestar.Request) -> litestar.Response:
        headers = {
            "Bronzeslip-Attempt-Id": request.headers.get(_ID, ""),
            "Bronzeslip-Response-Stamp": "stamp",
        }
        if request.headers.get(_TARGET) != self._endpoint_id:
            not_run = {**headers, "Bronzeslip-Not-Executed": "1"}
            return litestar.Response(b"", status_code=421, headers=not_run)
        print(f"ran {request.headers.get(_ID)}", flush=True)
        body = await request.body()
        if body == _CRASH_TEXT:
            os._exit(_CRASH_STATUS)
        if body == _STREAM_TEXT:
            return response.Stream(
                self._events(), headers=headers, media_type="text/event-stream"
            )
        await self._may_end.wait()
        return litestar.Response(
            b"ran " + body, headers=headers, media_type="text/plain"
        )

    async def _events(self) -> AsyncIterator[bytes]:
        mark = uuid.uuid4().hex
        for number in range(1, EVENT_COUNT + 1):
            yield f"id: {number}\ndata: {mark}-{number}\n\n".encode()
            await self._may_end.wait()
            await asyncio.sleep(_EVENT_INTERVAL_S)

    async def _report(self) -> litestar.Response:
        report = {
            "stage": "both",
            "models": [],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 30_000,
            "handles": 0,
        }
        return litestar.Response(
            msgspec.json.encode(report), media_type="application/json"
        )

    async def _hold(self) -> None:
        self._may_end.clear()

    async def _release(self) -> None:
        self._may_end.set()
