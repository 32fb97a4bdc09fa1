"""HTTP application of the model endpoint stand-in."""

import asyncio
from collections.abc import AsyncIterator
import os
import random
import time
from typing import Any
import uuid

import litestar
from litestar import response
import msgspec

from standins.model_endpoint import odd_responses

_ATTEMPT_ID_HEADER = "bronzeslip-attempt-id"
_PROMPT_PARTS_HEADER = "bronzeslip-prompt-prefix"
_TARGET_INSTANCE_HEADER = "bronzeslip-target-instance"
_STREAM_BODY = b"stream"
_CRASH_BODY = b"crash"
_BROKEN_STREAM_BODY = b"broken-stream"
_LARGE_STREAM_BODY = b"large-stream"
_STREAM_BODIES = (_STREAM_BODY, _BROKEN_STREAM_BODY, _LARGE_STREAM_BODY)
_CRASH_EXIT_STATUS = 70
_POISON_PART_PREFIX = "poison"
_MS_PER_S = 1000
EVENT_COUNT = 5
_BROKEN_EVENT_COUNT = 2
_EVENT_INTERVAL_S = 0.05
# All events of a large stream together exceed what gateways read ahead.
_LARGE_EVENT_BYTES = 150_000
_SLOTS = 24
# Paces that were observed, in percent.
_PACES = (100, 130, 250)
# False statements: an idle endpoint, a full one, and values that can't be read.
_FALSE_LOADS = ("0,0,9999,1", "9999,9999,1,100000", "-1,x,,nan", "", "1,2")


class EndpointStandin:
    """Serves calls and streams, and prints the attempt id of each of them.

    It also prints, with the monotonic time, when a request arrives and when
    one is answered with an announcement that the endpoint leaves, asks for a
    pause or states a limit on its requests.

    The body "stream" selects a stream of events, the body "broken-stream" one
    that ends inside an event, the body "large-stream" one of large events, and
    the body "crash" makes the process exit at once. Others select one of the
    odd responses. More text may follow after a space. A prompt with a part,
    other than the last, whose id begins with "poison" makes the process exit
    too. While the stand-in holds requests, calls wait before their response
    starts and streams wait after their first event.
    """

    def __init__(self, endpoint_id: str, is_unframed: bool = False) -> None:
        """Creates an endpoint.

        Args:
            endpoint_id: Id that requests have to name.
            is_unframed: Whether responses to requests state no length.
        """
        self._endpoint_id = endpoint_id
        self._is_unframed = is_unframed
        self._released = asyncio.Event()
        self._released.set()
        self._is_leaving = False
        self._pause_ends_s = 0.0
        self._stated_limit = ""
        self._load_mode = "none"
        self._running = 0

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/{path:path}", status_code=200)(
                    self._handle_request
                ),
                litestar.get("/report")(self._get_report),
                litestar.put("/standin/hold", status_code=200)(self._hold),
                litestar.put("/standin/leave", status_code=200)(self._leave),
                litestar.put("/standin/pause/{pause_ms:int}", status_code=200)(
                    self._pause
                ),
                litestar.put("/standin/limit/{value:str}", status_code=200)(
                    self._state_limit
                ),
                litestar.put("/standin/no-limit", status_code=200)(
                    self._end_limit
                ),
                litestar.put("/standin/load/{mode:str}", status_code=200)(
                    self._state_load
                ),
                litestar.put("/standin/release", status_code=200)(
                    self._release
                ),
            ],
            before_send=[self._announce],
            openapi_config=None,
            logging_config=None,
        )

    async def _announce(self, message: Any, _: Any) -> None:
        if message["type"] != "http.response.start":
            return
        if self._is_leaving:
            message["headers"] = [
                *message["headers"],
                (b"server-leaving", b"1"),
            ]
        if self._stated_limit:
            message["headers"] = [
                *message["headers"],
                (b"server-limit", self._stated_limit.encode()),
            ]
        if self._load_mode != "none":
            message["headers"] = [
                *message["headers"],
                (b"bronzeslip-server-load", self._load().encode()),
            ]
        if self._is_unframed:
            message["headers"] = [
                field
                for field in message["headers"]
                if field[0] != b"content-length"
            ]

    def _load(self) -> str:
        if self._load_mode == "lying":
            return random.choice(_FALSE_LOADS)
        pace = random.choice(_PACES) if self._load_mode == "noisy" else 100
        return f"{self._running},0,{_SLOTS},{pace}"

    async def _handle_request(
        self, request: litestar.Request
    ) -> litestar.Response:
        request_id = request.headers.get(_ATTEMPT_ID_HEADER, "")
        headers = {
            "Bronzeslip-Attempt-Id": request_id,
            "Bronzeslip-Response-Stamp": "stamp",
        }
        now_s = time.monotonic()
        print(f"arrived {request_id} {now_s}", flush=True)
        if self._is_leaving:
            print(f"leaving {request_id} {now_s}", flush=True)
        if self._stated_limit:
            print(
                f"limited {request_id} {now_s} {self._stated_limit}", flush=True
            )
        pause_s = self._pause_ends_s - now_s
        if pause_s > 0:
            print(f"paused {request_id} {now_s} {pause_s}", flush=True)
            return litestar.Response(
                b"",
                status_code=503,
                headers={
                    **headers,
                    "Bronzeslip-Not-Executed": "1",
                    "Retry-After": f"{pause_s:.3f}",
                },
            )
        if request.headers.get(_TARGET_INSTANCE_HEADER) != self._endpoint_id:
            not_executed_headers = {**headers, "Bronzeslip-Not-Executed": "1"}
            return litestar.Response(
                b"", status_code=421, headers=not_executed_headers
            )
        print(f"ran {request_id}", flush=True)
        body = await request.body()
        selected, _, _ = body.partition(b" ")
        if selected == _CRASH_BODY or _has_poison_part(request):
            os._exit(_CRASH_EXIT_STATUS)
        if selected in _STREAM_BODIES:
            return response.Stream(
                self._counted_events(selected),
                headers=headers,
                media_type="text/event-stream",
            )
        odd_response = odd_responses.create(body, headers)
        if odd_response is not None:
            return odd_response
        await self._released.wait()
        return litestar.Response(
            b"ran " + body, headers=headers, media_type="text/plain"
        )

    async def _counted_events(self, selected: bytes) -> AsyncIterator[bytes]:
        self._running += 1
        try:
            async for event in self._events(selected):
                yield event
        finally:
            self._running -= 1

    async def _events(self, selected: bytes) -> AsyncIterator[bytes]:
        is_broken = selected == _BROKEN_STREAM_BODY
        stream_id = uuid.uuid4().hex
        if selected == _LARGE_STREAM_BODY:
            stream_id += "x" * _LARGE_EVENT_BYTES
        for event_id in range(1, EVENT_COUNT + 1):
            if is_broken and event_id > _BROKEN_EVENT_COUNT:
                yield f"id: {event_id}\ndata: {stream_id}".encode()
                return
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

    async def _leave(self) -> None:
        self._is_leaving = True

    async def _pause(self, pause_ms: int) -> None:
        self._pause_ends_s = time.monotonic() + pause_ms / _MS_PER_S

    async def _state_limit(self, value: str) -> None:
        self._stated_limit = value

    async def _end_limit(self) -> None:
        self._stated_limit = ""
        print(f"unlimited - {time.monotonic()}", flush=True)

    async def _state_load(self, mode: str) -> None:
        """Selects the load headers: steady, noisy, lying or none."""
        self._load_mode = mode

    async def _hold(self) -> None:
        self._released.clear()

    async def _release(self) -> None:
        self._released.set()


def _has_poison_part(request: litestar.Request) -> bool:
    parts = request.headers.get(_PROMPT_PARTS_HEADER, "").split(",")
    return any(part.startswith(_POISON_PART_PREFIX) for part in parts[:-1])
