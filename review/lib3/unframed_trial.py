"""Streams that end with their connection, at an engine with a long queue.

Usage: python3 -m review.lib3.unframed_trial FOLDER

Callers ask for short streams on kept connections. The engine sends each of them
whole, without a length and without chunks. While the streams run, its queue is
long and it accepts no more connections. The script writes FOLDER/record.txt and
exits with 1 if more than three of the callers' connections were closed without
a complete answer, 0 if not and 2 if the trial couldn't run. TROUBLE=0 leaves
the queue short.
"""

import asyncio
import os
import pathlib
import sys
import tempfile

from review.lib3 import callers
from review.lib3 import engine
from review.lib3 import gateway
from review.lib3 import platform_standin
from review.lib3 import wire

_START_S = 25.0
_SETTLE_S = 9.0
_CALLERS = 8
_EVENTS = 12
# Within this time all streams have begun; they take 1.2 s.
_BEGIN_S = 0.6
_LONG_QUEUE_S = 1.5
_MAX_CLOSED = 3


class Trial:
    """One gateway, one engine and some callers."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._lines: list[str] = []
        self._closed = 0

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        now_s = asyncio.get_running_loop().time()
        self._lines.append(f"{now_s:12.3f} s  {text}")
        print(self._lines[-1], flush=True)

    async def run(self) -> int:
        """Plays the trial; returns the exit status."""
        try:
            with tempfile.TemporaryDirectory() as name:
                return await self._play(pathlib.Path(name))
        finally:
            record = "\n".join([*self._lines, ""])
            (self._folder / "record.txt").write_text(record)

    async def _play(self, folder: pathlib.Path) -> int:
        store = platform_standin.Store()
        address = await store.start(gateway.loopback_host())
        store.put("config", "main", callers.configuration_of_engines(7))
        server = engine.Engine("i-one", _EVENTS, is_unframed=True)
        server.start(gateway.loopback_host(), {})
        entry = server.entry("brum-a", gateway.now_ms() - 60_000)
        store.put("servers", "i-one", entry)
        front = gateway.Gateway("front-brum-a-1", address, folder)
        try:
            for _ in range(round(_START_S / 0.2)):
                if await asyncio.to_thread(front.is_ready):
                    break
                await asyncio.sleep(0.2)
            else:
                self.note("the gateway did not start")
                return 2
            await asyncio.sleep(_SETTLE_S)
            return await self._ask(front, server)
        finally:
            front.stop()

    async def _ask(self, front: gateway.Gateway, server: engine.Engine) -> int:
        asking = [
            asyncio.create_task(self._call(front, number))
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(_BEGIN_S)
        self.note(f"the engine runs {len(server.runs)} streams")
        if len(server.runs) != _CALLERS:
            return 2
        if os.environ.get("TROUBLE") != "0":
            self.note("its queue is long: it resets new connections")
            server.max_connections = 0
        await asyncio.sleep(_LONG_QUEUE_S)
        server.max_connections = engine.MAX_CONNECTIONS
        await asyncio.gather(*asking)
        for name in ("stream.cut", "stream.broken_off"):
            for event in front.events(name)[:3]:
                self.note(f"log of the gateway: {event}")
        self.note(f"the engine reset {server.reset_count} connections")
        self.note(f"closed without a complete answer: {self._closed}")
        is_broken = self._closed > _MAX_CLOSED
        self.note("broken" if is_broken else "held")
        return 1 if is_broken else 0

    async def _call(self, front: gateway.Gateway, number: int) -> None:
        reader, writer = await asyncio.open_connection(front.host, front.port)
        # An answer to a path without a route makes it a kept connection.
        writer.write(_request(f"{number:015x}0", "/none/"))
        message = await wire.read_message(reader)
        self.note(f"caller {number}: {message.status} on a new connection")
        writer.write(_request(f"{number:015x}1", "/drafts/2f"))
        events = b""
        try:
            await reader.readuntil(b"\r\n\r\n")
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line, 16)
                events += await reader.readexactly(size + 2)
                if not size:
                    break
        except (OSError, asyncio.IncompleteReadError):
            self._closed += 1
            outcome = "closed without an end"
        else:
            outcome = "complete"
        finally:
            writer.close()
        count = events.count(b"id: ")
        self.note(f"caller {number}: {count} of {_EVENTS} events, {outcome}")


def _request(attempt_id: str, path: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {callers.HOST}\r\n"
        f"Bronzeslip-Attempt-Id: {attempt_id}\r\n"
        "Bronzeslip-Model: m\r\nBronzeslip-Token-Usage: 1460,48\r\n"
        f"Bronzeslip-Prompt-Prefix: 5c1e07a2:800,{attempt_id}:660\r\n"
        "Bronzeslip-Deadline-Ms: 6000\r\n"
        f"Bronzeslip-Key: {callers.KEY}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


if __name__ == "__main__":
    sys.exit(asyncio.run(Trial(pathlib.Path(sys.argv[1])).run()))
