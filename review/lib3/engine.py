"""Sound model engine, by PROTOCOL.md, that goes on after a lost connection.

Most engines drop a request when its connection closes; this one does not. It
stops a run on POST /kv-move with `last`.
"""

import asyncio
from concurrent import futures
import dataclasses
import json
import socket
import struct
import threading

from review.lib3 import wire

_STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
_EVENT_S = 0.1
# As in the configuration.
MAX_CONNECTIONS = 282
_BACKLOG = 512
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Run:
    """One run and the times at which it worked."""

    attempt_id: str
    next_event: int
    begin_s: float
    end_s: float | None = None
    task: asyncio.Task | None = None
    writer: asyncio.StreamWriter | None = None


class Engine:
    """One engine.

    Attributes:
        runs: All runs, in the order of their start.
        max_connections: Connections that it accepts now. It accepts fewer
            while its queue is long.
        reset_count: Connections beyond these, which it has reset.
    """

    def __init__(
        self, instance_id: str, events: int, is_unframed: bool = False
    ) -> None:
        self.instance_id = instance_id
        self.max_connections = MAX_CONNECTIONS
        self._is_unframed = is_unframed
        self.address = ""
        self.runs: list[Run] = []
        self._events = events
        self._socket = socket.socket()
        self._peers: dict[str, Engine] = {}
        self._copies: dict[str, tuple[str, int]] = {}
        self._others: list[socket.socket] = []
        self._open_count = 0
        self._serving: set[futures.Future] = set()
        self.reset_count = 0

    def start(self, host: str, peers: dict[str, "Engine"]) -> None:
        """Listens on a free port."""
        self._socket.bind((host, 0))
        self._socket.listen(_BACKLOG)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._peers = peers
        peers[self.address] = self
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._accept, daemon=True).start()

    def occupy(self) -> None:
        """Lets other callers open all the connections that it accepts."""
        host, _, port = self.address.partition(":")
        for _ in range(MAX_CONNECTIONS):
            other = socket.create_connection((host, int(port)))
            self._others.append(other)

    def free(self) -> None:
        """Lets the other callers close their connections."""
        for other in self._others:
            other.close()
        self._others.clear()

    def break_off(self, run: Run) -> None:
        """Resets the connection of a run, which goes on."""
        connection = run.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        run.writer.transport.abort()
        run.writer = None

    def entry(self, zone: str, born_ms: int) -> dict:
        """Returns the entry of this engine in the store."""
        return {
            "service": "pool",
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": 1,
            "born": born_ms,
        }

    def working(self, attempt_id: str) -> Run | None:
        """Returns the run of a request that goes on, or None."""
        for run in self.runs:
            if run.attempt_id == attempt_id and run.end_s is None:
                return run
        return None

    def _accept(self) -> None:
        """Accepts connections and resets those beyond the limit, at once."""
        while True:
            connection, _ = self._socket.accept()
            if self._open_count >= self.max_connections:
                self.reset_count += 1
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )
                connection.close()
                continue
            self._open_count += 1
            connection.setblocking(False)
            serving = asyncio.run_coroutine_threadsafe(
                self._open(connection), self._loop
            )
            # The event loop alone would not keep it.
            self._serving.add(serving)
            serving.add_done_callback(self._serving.discard)

    async def _open(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while (message := await wire.read_message(reader)) is not None:
                await self._answer(message, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has closed the connection, or the script ends.
            pass
        finally:
            self._open_count -= 1
            writer.close()

    async def _answer(
        self, message: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        method, path, _ = message.first_line.split(" ")
        if path == "/report":
            wire.write_answer(writer, 200, json.dumps(self._report()).encode())
        elif path == "/kv-move":
            status, body = self._move(json.loads(message.body))
            wire.write_answer(writer, status, json.dumps(body).encode())
        elif path.startswith("/kv-handle/"):
            wire.write_answer(writer, 200, b"{}")
        elif method == "GET":
            wire.write_answer(
                writer, 200, b"{}", Bronzeslip_Instance_Id=self.instance_id
            )
        else:
            await self._run(message, writer)
            return
        await writer.drain()

    def _report(self) -> dict:
        working = [run for run in self.runs if run.end_s is None]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": len(working),
            "kv_used": 3000 * len(working),
            "kv_total": 34392,
            "handles": len(self._copies),
            "pinned": 0,
            "held": 0,
            "state": "ready",
            "runs": [[r.attempt_id, 3000, r.next_event, 0] for r in working],
        }

    def _move(self, order: dict) -> tuple[int, dict]:
        run = self.working(order["id"])
        if run is None:
            return 404, {}
        if order.get("last"):
            self._end(run)
        handle = f"h-{run.attempt_id}"
        target = self._peers[order["to"]]
        target._copies[f"{self.address}/{handle}"] = (
            run.attempt_id,
            run.next_event,
        )
        return 200, {"handle": handle, "create_revision": run.next_event}

    async def _run(
        self, message: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = message.fields["bronzeslip-attempt-id"]
        source = message.fields.get("kv-from")
        first = int(message.fields.get("last-event-id", 0)) + 1
        if source is not None and source not in self._copies:
            wire.write_answer(
                writer,
                503,
                b"",
                Bronzeslip_Not_Executed="1",
                Bronzeslip_Attempt_Id=attempt_id,
            )
            await writer.drain()
            return
        self._copies.pop(source, None)
        run = Run(attempt_id, first, asyncio.get_running_loop().time())
        run.writer = writer
        self.runs.append(run)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Bronzeslip-Attempt-Id: {attempt_id}\r\n"
                f"Bronzeslip-Response-Stamp: {_STAMP}\r\n"
                f"{self._framing}Connection: close\r\n\r\n"
            ).encode()
        )
        run.task = asyncio.create_task(self._work(run))
        await asyncio.wait((run.task,))
        if self._is_unframed:
            await writer.drain()
            # The end of the connection is that of the stream.
            raise ConnectionAbortedError

    async def _work(self, run: Run) -> None:
        try:
            while run.next_event <= self._events:
                await asyncio.sleep(_EVENT_S)
                text = f"id: {run.next_event}\ndata: {'x' * 40}\n\n"
                run.next_event += 1
                self._send(run, text.encode())
            self._send(run, b"")
        finally:
            run.end_s = run.end_s or asyncio.get_running_loop().time()

    @property
    def _framing(self) -> str:
        return "" if self._is_unframed else "Transfer-Encoding: chunked\r\n"

    def _send(self, run: Run, data: bytes) -> None:
        """Sends an event, or without bytes the end of the stream."""
        if not self._is_unframed:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        if run.writer is not None:
            run.writer.write(data)

    def _end(self, run: Run) -> None:
        run.end_s = asyncio.get_running_loop().time()
        if run.writer is not None:
            run.writer.transport.abort()
        run.task.cancel()
