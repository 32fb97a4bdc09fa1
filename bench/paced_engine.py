"""Engine that emits timestamped tokens at a fixed rate.

The text of each token contains the time at which the token was sent; the first
one also contains the time at which the request was received. Both are in
microseconds of the monotonic clock of the system.
"""

import argparse
import asyncio
import time
from typing import Any

import msgspec

from bronzeslip.engine import messages
from standins import serve

_EVENT_STREAM_HEADERS = [(b"content-type", b"text/event-stream")]
_READINESS_DIRECTIVE = "#length=1"
_US_PER_S = 1_000_000


class PacedEngine:
    """ASGI application that sends a token on all streams at each step."""

    def __init__(self, step_s: float) -> None:
        self._step_s = step_s
        self._step_event = asyncio.Event()
        self._tick_task: asyncio.Task | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope["method"] != "POST":
            await self._send_load(send)
            return
        self._tick_task = self._tick_task or asyncio.create_task(self._tick())
        received_us = _now_us()
        request = msgspec.json.decode(
            await _read_body(receive), type=messages.GenerationRequest
        )
        token_count = (
            1 if _READINESS_DIRECTIVE in request.prompt else request.max_tokens
        )
        await self._stream_tokens(send, token_count, received_us)

    async def _send_load(self, send: Any) -> None:
        load = messages.EngineLoad(0, 0, 0, 1, 16, self._step_s, 0)
        await send(_start_message([(b"content-type", b"application/json")]))
        await send(_body_message(msgspec.json.encode(load), False))

    async def _stream_tokens(
        self, send: Any, token_count: int, received_us: int
    ) -> None:
        await send(_start_message(_EVENT_STREAM_HEADERS))
        for index in range(token_count):
            await self._step_event.wait()
            text = f"{received_us}:" if index == 0 else ""
            event = (
                f'data: {{"kind":"tokens","first_index":{index},'
                f'"texts":["{text}@{_now_us()} "]}}\n\n'
            )
            await send(_body_message(event.encode(), True))
        finished = messages.StreamEvent(
            messages.StreamEventKind.FINISHED, finish_reason="length"
        )
        event = b"data: " + msgspec.json.encode(finished) + b"\n\n"
        await send(_body_message(event, False))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._step_s)
            step_event, self._step_event = self._step_event, asyncio.Event()
            step_event.set()


async def _read_body(receive: Any) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


def _start_message(headers: list[tuple[bytes, bytes]]) -> dict[str, Any]:
    return {"type": "http.response.start", "status": 200, "headers": headers}


def _body_message(body: bytes, more_body: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more_body}


def _now_us() -> int:
    return int(time.monotonic() * _US_PER_S)


def main() -> None:
    """Parses the command line and serves the engine."""
    parser = argparse.ArgumentParser(prog="paced-engine")
    serve.add_port_flag(parser)
    parser.add_argument("--step-s", type=float, default=0.027)
    flags, _ = parser.parse_known_args()
    asyncio.run(serve.serve(PacedEngine(flags.step_s), flags.port))


if __name__ == "__main__":
    main()
