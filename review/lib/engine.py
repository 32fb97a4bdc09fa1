"""Stand-in for a model engine or a plain service, as a process of its own.

It speaks what the users' page PROTOCOL.md says of engines: requests with a
target instance, event streams, /health, /report, /kv-move and /kv-handle. It
prints one JSON line for each thing that happens and takes orders as JSON lines
on its standard input.

The text of each event names the request whose memory it was made from.
"""

import argparse
import asyncio
import dataclasses
import json
import math
import os
import sys
import time
from typing import Any

_TOKENS_PER_EVENT = 4
_STAMP = "review.stamp"
# The answer of a stream is lost at this event.
_LOST_AFTER_EVENTS = 60
# Pieces of an answer without end and the pause after so many of them.
_ENDLESS_PIECE = b"10\r\n" + b"x" * 16 + b"\r\n"
_ENDLESS_BURST = 40
_ENDLESS_PAUSE_S = 0.02
_EVENTS = "text/event-stream"


@dataclasses.dataclass
class Run:
    """A generation in progress; `memory` is the request it was read from."""

    request_id: str
    memory: str
    total: int
    made: int = 0


@dataclasses.dataclass
class Reply:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Engine:
    """Serves one incarnation of an engine."""

    def __init__(self, flags: argparse.Namespace) -> None:
        self._flags = flags
        self._born = round(time.time() * 1000)
        self._address = f"127.0.0.1:{flags.port}"
        self._runs: dict[str, Run] = {}
        # Copies by source address and handle, for runs that may go on here.
        self._copies: dict[str, Run] = {}
        self._handles: dict[str, str] = {}
        self._orders: dict[str, Any] = {}
        self._stream_count = 0
        self._long_streams = 0
        # Complete answers since the last one that was followed by more bytes.
        self._answers = 0

    async def serve(self) -> None:
        """Serves until killed."""
        server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", self._flags.port, backlog=512
        )
        tell("listening", port=self._flags.port, born=self._born)
        await asyncio.gather(server.serve_forever(), self._read_orders())

    async def _read_orders(self) -> None:
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            order = json.loads(line)
            tell("order", **order)
            if order.get("exit"):
                os._exit(0)
            self._orders.update(order)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (
                line.partition(":") for line in lines if line
            )
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if (reply := await self._control(method, target, body)) is not None:
            copies = 1 + self._has_extra(target, reply)
            writer.write(copies * _encode(reply))
            await writer.drain()
            return True
        return await self._run(target, headers, reader, writer)

    def _has_extra(self, target: str, reply: Reply) -> bool:
        """Returns whether a complete answer is followed by itself again."""
        every = self._orders.get("extra_every", 0)
        self._answers += every > 0
        if not every or self._answers < every or target != "/kv-move":
            return False
        self._answers = 0
        tell("extra", body=reply.body.decode())
        return True

    async def _control(
        self, method: str, target: str, body: bytes
    ) -> Reply | None:
        """Answers a call that is no request of a client."""
        if target == "/report":
            return _json(self._report())
        if target == "/health":
            state = 503 if self._orders.get("leaving") else 200
            return Reply(
                state, headers=(("Bronzeslip-Instance-Id", self._flags.id),)
            )
        if target == "/kv-move":
            return await self._move(json.loads(body))
        if target == "/standin/copy":
            copy = json.loads(body)
            key = f"{copy['source']}/{copy['handle']}"
            self._copies[key] = Run("", copy["memory"], 0, copy["events"])
            return _json({})
        if method == "DELETE" and target.startswith("/kv-handle/"):
            handle = target.removeprefix("/kv-handle/")
            self._copies.pop(f"{self._address}/{handle}", None)
            return _json({})
        return None

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": [],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": len(self._runs),
            "kv_used": self._flags.others_tokens + 1000 * len(self._runs),
            "kv_total": 34000,
            "handles": len(self._handles),
            "held": 0,
            "pinned": 0,
            "next": 0,
            "state": "draining" if self._orders.get("leaving") else "ready",
            "runs": [
                [run.request_id, 1000, run.made, 5]
                for run in self._runs.values()
            ],
            "born": self._born,
        }

    async def _move(self, order: dict[str, Any]) -> Reply:
        run = self._runs.get(order["id"])
        if run is None:
            return _json({}, 404)
        handle = self._handles.setdefault(
            f"{run.request_id} {order['to']}", f"h{len(self._handles) + 1}"
        )
        copy = {
            "source": self._address,
            "handle": handle,
            "memory": run.memory,
            "events": run.made,
        }
        if not await _send_copy(order["to"], copy):
            return _json({}, 503)
        tell("copied", request=run.request_id, to=order["to"], handle=handle)
        return _json({"handle": handle, "create_revision": run.made})

    async def _run(
        self,
        target: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = headers.get("bronzeslip-attempt-id", "")
        refusal = self._refusal(headers)
        if refusal:
            tell("refused", request=request_id, status=refusal)
            reply = Reply(refusal, headers=(("Bronzeslip-Not-Executed", "1"),))
            writer.write(_encode(reply, request_id))
            await writer.drain()
            return True
        run = Run(request_id, request_id, _event_count(headers))
        source = headers.get("kv-from")
        if source is not None:
            copy = self._copies.pop(source)
            run.memory = copy.memory
            run.made = int(headers["last-event-id"])
        tell(
            "ran",
            request=request_id,
            target=target,
            tenant=headers.get("bronzeslip-tenant"),
            memory=run.memory,
            source=source,
            after=run.made,
        )
        if not run.total:
            await asyncio.sleep(self._flags.work_ms / 1000)
            body = f"{self._flags.service} did {request_id}".encode()
            writer.write(_encode(Reply(200, body), request_id))
            await writer.drain()
            return True
        return await self._stream(run, reader, writer)

    def _refusal(self, headers: dict[str, str]) -> int:
        if headers.get("bronzeslip-target-instance") not in (
            None,
            self._flags.id,
        ):
            return 421
        source = headers.get("kv-from")
        if source is not None and source not in self._copies:
            return 503
        return 0

    def _lost_after(self, run: Run) -> float:
        """Returns the event at which the answer is lost, or infinity."""
        every = self._orders.get("lost_every", 0)
        if not every or run.total < _LOST_AFTER_EVENTS:
            return math.inf
        self._long_streams += 1
        is_lost = self._long_streams % every == every // 2
        return _LOST_AFTER_EVENTS if is_lost else math.inf

    async def _stream(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._stream_count += 1
        first = self._flags.unframed_first
        is_unframed = 0 < first <= self._stream_count and (
            (self._stream_count - first) % self._flags.unframed_every == 0
        )
        framing = "Transfer-Encoding: chunked"
        if is_unframed:
            framing = "Connection: close"
            tell("unframed", request=run.request_id)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"Content-Type: {_EVENTS}\r\n{framing}\r\n"
                f"Bronzeslip-Attempt-Id: {run.request_id}\r\n"
                f"Bronzeslip-Response-Stamp: {_STAMP}\r\n\r\n"
            ).encode()
        )
        if self._orders.pop("endless", False):
            await _send_without_end(run.request_id, writer)
            return False
        self._runs[run.request_id] = run
        # An engine drops a request when its connection closes, except one
        # that it runs while its answer is lost.
        closed = asyncio.create_task(reader.read(1))
        lost_after = self._lost_after(run)
        try:
            while run.made < run.total and (
                not closed.done() or run.made >= lost_after
            ):
                await asyncio.sleep(self._flags.event_ms / 1000)
                run.made += 1
                if run.made == lost_after:
                    tell("answer_lost", request=run.request_id, made=run.made)
                    writer.transport.abort()
                if run.made >= lost_after:
                    continue
                text = f"{run.memory}-{run.made}"
                event = f"id: {run.made}\ndata: {text}\n\n".encode()
                if not is_unframed:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
        finally:
            del self._runs[run.request_id]
            closed.cancel()
        tell("stream_end", request=run.request_id, made=run.made, of=run.total)
        if not is_unframed and run.made == run.total < lost_after:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return False


def _encode(reply: Reply, request_id: str = "") -> bytes:
    """Returns a response, with the id if it answers a client's request."""
    fields = [
        *reply.headers,
        ("Content-Length", str(len(reply.body))),
        ("Keep-Alive", "timeout=10"),
    ]
    if request_id:
        fields += [
            ("Bronzeslip-Attempt-Id", request_id),
            ("Bronzeslip-Response-Stamp", _STAMP),
        ]
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 {reply.status} X\r\n{head}\r\n".encode() + reply.body


async def _send_copy(address: str, copy: dict[str, Any]) -> bool:
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    body = json.dumps(copy).encode()
    writer.write(
        b"POST /standin/copy HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s"
        % (len(body), body)
    )
    answer = await reader.readline()
    writer.close()
    return b" 200 " in answer


async def _send_without_end(
    request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Sends bytes that are no event until the caller closes."""
    tell("endless", request=request_id)
    sent = 0
    try:
        while True:
            writer.write(_ENDLESS_BURST * _ENDLESS_PIECE)
            await writer.drain()
            sent += _ENDLESS_BURST * 16
            await asyncio.sleep(_ENDLESS_PAUSE_S)
    except OSError:
        tell("endless_closed", request=request_id, sent_bytes=sent)


def _event_count(headers: dict[str, str]) -> int:
    """Returns the events of a stream, 0 for a call."""
    usage = headers.get("bronzeslip-token-usage")
    return 0 if usage is None else int(usage.split(",")[1]) // _TOKENS_PER_EVENT


def _json(value: dict[str, Any], status: int = 200) -> Reply:
    return Reply(
        status,
        json.dumps(value).encode(),
        (("Content-Type", "application/json"),),
    )


def tell(what: str, **fields: Any) -> None:
    """Prints what happened, with the time on the machine's steady clock."""
    line = {"t": round(time.monotonic(), 3), "what": what, **fields}
    print(json.dumps(line), flush=True)


def main() -> None:
    """Parses the flags and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--event-ms", type=float, default=40)
    parser.add_argument("--work-ms", type=float, default=20)
    # Memory that the requests of other gateways take.
    parser.add_argument("--others-tokens", type=int, default=0)
    # The first stream without length and chunks, and how many follow until
    # the next one; 0 for none.
    parser.add_argument("--unframed-first", type=int, default=0)
    parser.add_argument("--unframed-every", type=int, default=20)
    asyncio.run(Engine(parser.parse_args()).serve())


if __name__ == "__main__":
    main()
