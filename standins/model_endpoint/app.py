"""HTTP application of the model endpoint stand-in."""

import asyncio
from collections.abc import AsyncIterator
import os
import uuid

import litestar
from litestar import response
import msgspec

_ATTEMPT_ID_HEADER = "bronzeslip-attempt-id"
_TARGET_INSTANCE_HEADER = "bronzeslip-target-instance"
_STREAM_BODY = b"stream"
_CRASH_BODY = b"crash"
_CRASH_EXIT_STATUS = 70
EVENT_COUNT = 5
_EVENT_INTERVAL_S = 0.05


class EndpointStandin:
    """Serves calls and streams, and prints the attempt id of each of them.

    The body "stream" selects a stream of events, and the body "crash" makes
    the process exit at once. While the stand-in holds requests, calls wait
    before their response starts and streams wait after their first event.
    """

    def __init__(self, endpoint_id: str) -> None:
        self._endpoint_id = endpoint_id
        self._released = asyncio.Event()
        self._released.set()

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/{path:path}", status_code=200)(
                    self._handle_request
                ),
                litestar.get("/report")(self._get_report),
                litestar.put("/standin/hold", status_code=200)(self._hold),
                litestar.put("/standin/release", status_code=200)(
                    self._release
                ),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _handle_request(
        self, request: litestar.Request
    ) -> litestar.Response:
        headers = {
            "Bronzeslip-Attempt-Id": request.headers.get(
                _ATTEMPT_ID_HEADER, ""
            ),
            "Bronzeslip-Response-Stamp": "stamp",
        }
        if request.headers.get(_TARGET_INSTANCE_HEADER) != self._endpoint_id:
            not_executed_headers = {**headers, "Bronzeslip-Not-Executed": "1"}
            return litestar.Response(
                b"", status_code=421, headers=not_executed_headers
            )
        print(f"ran {request.headers.get(_ATTEMPT_ID_HEADER)}", flush=True)
        body = await request.body()
        if body == _CRASH_BODY:
            os._exit(_CRASH_EXIT_STATUS)
        if body == _STREAM_BODY:
            return response.Stream(
                self._events(), headers=headers, media_type="text/event-stream"
            )
        await self._released.wait()
        return litestar.Response(
            b"ran " + body, headers=headers, media_type="text/plain"
        )

    async def _events(self) -> AsyncIterator[bytes]:
        stream_id = uuid.uuid4().hex
        for event_id in range(1, EVENT_COUNT + 1):
            yield f"id: {event_id}\ndata: {stream_id}-{event_id}\n\n".encode()
            await self._released.wait()
            await asyncio.sleep(_EVENT_INTERVAL_S)

    async def _get_report(self) -> litestar.Response:
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
        self._released.clear()

    async def _release(self) -> None:
        self._released.set()
