# ruff: noqa: ANN001, ANN201, ANN202
"""Model engine as a process of its own, which turns requests away when full.

Usage: shedding_engine.py HOST PORT ID MAX_RUNS RETRY_AFTER_S. Its streams come
with neither a length nor chunks and end with their connection, as the news
pages allow. Beyond MAX_RUNS it answers 503 with Bronzeslip-Not-Executed and
Retry-After, or without Retry-After if that is 0. It prints what it does.
"""

import asyncio
import sys
import time

import kit

EVENTS = 60
PAUSE_S = 0.1


class SheddingEngine(kit.Engine):
    """Engine whose streams are unframed."""

    def __init__(self, host, port, server_id, max_runs, retry_after_s) -> None:
        super().__init__(None, "pool", None)
        self.host, self.port, self.server_id = host, port, server_id
        self._max_runs = max_runs
        self._retry_after_s = retry_after_s

    def note_run(self, request):
        """Notes nothing: run and turned away are told apart later."""

    async def run(self, request, reader, writer):
        """Answers with a stream that ends with its connection."""
        if self._running > self._max_runs:
            fields = {"Bronzeslip-Not-Executed": "1"}
            if self._retry_after_s:
                fields["Retry-After"] = str(self._retry_after_s)
            fields["Bronzeslip-Attempt-Id"] = request.request_id
            writer.write(kit.render(503, **fields))
            print(f"shed {request.request_id} {time.monotonic()}", flush=True)
            return
        print(f"run {request.request_id} {time.monotonic()}", flush=True)
        await asyncio.sleep(0.2)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        fields = self.own_fields(request)
        del fields["Keep-Alive"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            last = " last" if number == EVENTS else ""
            text = "t" * 250
            writer.write(f"id: {number}\ndata: {text}{last}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        print(f"done {request.request_id} {time.monotonic()}", flush=True)
        writer.close()
        raise ConnectionError


async def _main(host, port, server_id, max_runs, retry_after_s):
    engine = SheddingEngine(
        host, int(port), server_id, int(max_runs), float(retry_after_s)
    )
    await engine.listen()
    print("listens", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
