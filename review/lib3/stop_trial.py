"""A stream whose engine accepts no more connections for a moment.

Usage: python3 -m review.lib3.stop_trial FOLDER

Two engines. The one that runs a draft resets the connection of its answer, and
for a second it has as many connections of other callers as it accepts. The
script writes FOLDER/record.txt and exits with 1 if both engines work on the
draft 400 ms after the second began, 0 if not and 2 if the trial couldn't run.
TROUBLE=0 leaves out the other callers; the connection is reset all the same.
"""

import asyncio
import itertools
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
_EVENTS = 80
# The engine resets the connection this long after the first event.
_BREAK_S = 3.0
_FULL_S = 1.0
_LIMIT_S = 0.4
_ATTEMPT_ID = "9c41d07be2a35f68"


class Trial:
    """One gateway, two engines and one caller."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._lines: list[str] = []
        self._ids: list[str] = []
        self._outcome = "open"

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
        peers: dict[str, engine.Engine] = {}
        engines = []
        for name, zone in (("i-one", "brum-a"), ("i-two", "dudley-a")):
            one = engine.Engine(name, _EVENTS)
            one.start(gateway.loopback_host(), peers)
            store.put(
                "servers", name, one.entry(zone, gateway.now_ms() - 60_000)
            )
            engines.append(one)
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
            return await self._draft(front, engines)
        finally:
            front.stop()

    async def _draft(
        self, front: gateway.Gateway, engines: list[engine.Engine]
    ) -> int:
        caller = asyncio.create_task(self._call(front))
        await asyncio.sleep(_BREAK_S)
        found = [one for one in engines if one.working(_ATTEMPT_ID)]
        if len(found) != 1:
            self.note("the draft does not run")
            caller.cancel()
            return 2
        first = found[0]
        self.note(f"{first.instance_id} resets the connection of its answer")
        if os.environ.get("TROUBLE") != "0":
            await asyncio.to_thread(first.occupy)
            self.note("and has as many connections as it accepts")
        first.break_off(first.working(_ATTEMPT_ID))
        await asyncio.sleep(_FULL_S)
        first.free()
        await asyncio.wait((caller,), timeout=20)
        caller.cancel()
        for event in front.events("stream.run_stopped"):
            self.note(f"log of the gateway: {event}")
        return self._judge(engines)

    async def _call(self, front: gateway.Gateway) -> None:
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(
            (
                f"POST /drafts/2f HTTP/1.1\r\nHost: {callers.HOST}\r\n"
                f"Bronzeslip-Attempt-Id: {_ATTEMPT_ID}\r\n"
                "Bronzeslip-Model: m\r\nBronzeslip-Token-Usage: 1460,400\r\n"
                "Bronzeslip-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n"
                "Bronzeslip-Deadline-Ms: 39000\r\n"
                f"Bronzeslip-Key: {callers.KEY}\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )
        try:
            message = await wire.read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            self._outcome = "broken off"
        else:
            self._outcome = f"{message.status}, complete"
            self._ids = [
                line.removeprefix(b"id: ").decode()
                for line in message.body.splitlines()
                if line.startswith(b"id: ")
            ]
        finally:
            writer.close()

    def _judge(self, engines: list[engine.Engine]) -> int:
        runs = [(one, run) for one in engines for run in one.runs]
        runs.sort(key=lambda item: item[1].begin_s)
        for one, run in runs:
            end = "goes on" if run.end_s is None else f"{run.end_s:.3f} s"
            self.note(
                f"{one.instance_id} worked on {run.attempt_id} from "
                f"{run.begin_s:.3f} s to {end}"
            )
        for one in engines:
            self.note(f"{one.instance_id} reset {one.reset_count} connections")
        self.note(f"the client: {self._outcome}, {len(self._ids)} events")
        is_in_order = self._ids == [str(n + 1) for n in range(len(self._ids))]
        self.note(f"events in order, each once: {is_in_order}")
        is_broken = not is_in_order
        for (_, earlier), (_, later) in itertools.pairwise(runs):
            end_s = earlier.end_s or float("inf")
            is_broken |= end_s > later.begin_s + _LIMIT_S
        self.note("broken" if is_broken else "held")
        return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(Trial(pathlib.Path(sys.argv[1])).run()))
