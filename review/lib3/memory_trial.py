"""Two machines beside crowds of clients whose bodies stop short.

Usage: python3 -m review.lib3.memory_trial FOLDER

The platform kills a process that exceeds its memory and starts it again. The
script writes FOLDER/record.txt and exits with 1 if the processes of both
machines ended three times, 0 if not and 2 if the trial couldn't run. TROUBLE=0
leaves the crowds out.
"""

import asyncio
import collections
import os
import pathlib
import subprocess
import sys
import tempfile

from review.lib3 import callers
from review.lib3 import deployment
from review.lib3 import desk
from review.lib3 import gateway
from review.lib3 import process_memory

_CALM_S = 4.0
_CROWD_S = 45.0
_CLIENTS = 1000
_MAX_ENDS = 3
_CALLERS = 4
_PAUSE_S = 0.5
_TIMEOUT_S = 0.8
_DEADLINE_S = 1.5
_SAMPLE_S = 0.05
_RESTART_S = 0.5
_LIMIT_BYTES = gateway.MEMORY_MB * 1_000_000


class Machine:
    """A gateway under the platform's watch, its callers and its crowd."""

    def __init__(self, trial: "Trial", front: gateway.Gateway) -> None:
        self.ends = 0
        self.attempts: list[callers.Attempt] = []
        self.peak_own_bytes = 0
        self.peak_bytes = 0
        self._trial = trial
        self._front = front
        self._crowd: subprocess.Popen | None = None

    def start_crowd(self) -> None:
        """Lets the clients come, who come again when they are closed."""
        self._crowd = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "review.lib3.crowd",
                self._front.host,
                str(self._front.port),
                str(_CLIENTS),
            ],
            cwd=gateway.ROOT,
            stdin=subprocess.DEVNULL,
        )

    def stop(self) -> None:
        """Ends all processes."""
        if self._crowd is not None:
            self._crowd.kill()
            self._crowd.wait()
        self._front.stop()

    async def watch(self) -> None:
        """Kills and restarts the process when it exceeds its memory."""
        while True:
            await asyncio.sleep(_SAMPLE_S)
            process_id = self._front.process.pid
            try:
                own = process_memory.own_bytes(process_id)
                total = own + await asyncio.to_thread(
                    process_memory.unread_bytes, process_id
                )
            except (OSError, AttributeError):
                own = total = 0
            self.peak_own_bytes = max(self.peak_own_bytes, own)
            self.peak_bytes = max(self.peak_bytes, total)
            status = self._front.process.poll()
            if total <= _LIMIT_BYTES and status is None:
                continue
            self.ends += 1
            self._trial.note(
                f"{self._front.name}: {own / 1e6:.0f} MB of its own and "
                f"{(total - own) / 1e6:.0f} MB received and not read, exit "
                f"status {status}: end {self.ends}"
            )
            await asyncio.to_thread(self._front.stop)
            await asyncio.sleep(_RESTART_S)
            self._front.start()
            await deployment.wait_ready(self._front)

    async def call(self, number: int) -> None:
        """Sends ordinary calls until cancelled."""
        caller = callers.Caller(
            (self._front.host, self._front.port), self.attempts
        )
        await asyncio.sleep(number * _PAUSE_S / _CALLERS)
        while True:
            await caller.call("non_idempotent", "/calls/1", _DEADLINE_S)
            await asyncio.sleep(_PAUSE_S)


class Trial:
    """Two machines and three servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._lines: list[str] = []
        self._start_s = 0.0

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        now_s = asyncio.get_running_loop().time() - self._start_s
        self._lines.append(f"{now_s:7.2f} s  {text}")
        print(self._lines[-1], flush=True)

    async def run(self) -> int:
        """Plays the trial; returns the exit status."""
        self._start_s = asyncio.get_running_loop().time()
        try:
            with tempfile.TemporaryDirectory() as name:
                return await self._start(pathlib.Path(name))
        finally:
            record = "\n".join([*self._lines, ""])
            (self._folder / "record.txt").write_text(record)

    async def _start(self, folder: pathlib.Path) -> int:
        desks = [desk.Desk(f"i-desk-{n}", "desk", 0.02) for n in range(3)]
        names = ("front-brum-a-1", "front-brum-a-2")
        try:
            fronts = await deployment.start(
                folder, desks, round(_TIMEOUT_S * 1000), names
            )
        except RuntimeError as error:
            self.note(str(error))
            return 2
        machines = [Machine(self, front) for front in fronts]
        try:
            return await self._play(machines)
        finally:
            for machine in machines:
                machine.stop()

    async def _play(self, machines: list[Machine]) -> int:
        watches = [asyncio.create_task(one.watch()) for one in machines]
        calls = [
            asyncio.create_task(one.call(number))
            for one in machines
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(_CALM_S)
        if os.environ.get("TROUBLE") == "0":
            self.note("no crowd")
        else:
            self.note(f"{_CLIENTS} clients come to each machine")
            for machine in machines:
                machine.start_crowd()
        due_s = asyncio.get_running_loop().time() + _CROWD_S
        while asyncio.get_running_loop().time() < due_s:
            await asyncio.sleep(_SAMPLE_S)
            if all(one.ends >= _MAX_ENDS for one in machines):
                break
        for task in (*watches, *calls):
            task.cancel()
        await asyncio.wait((*watches, *calls))
        return self._judge(machines)

    def _judge(self, machines: list[Machine]) -> int:
        for number, machine in enumerate(machines, 1):
            outcomes = collections.Counter(a.outcome for a in machine.attempts)
            self.note(
                f"machine {number}: {machine.ends} ends; peak memory "
                f"{machine.peak_own_bytes / 1e6:.0f} MB of its own, "
                f"{machine.peak_bytes / 1e6:.0f} MB with what is unread, limit "
                f"{_LIMIT_BYTES / 1e6:.0f} MB; ordinary calls {dict(outcomes)}"
            )
        is_broken = all(one.ends >= _MAX_ENDS for one in machines)
        self.note("broken" if is_broken else "held")
        return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(Trial(pathlib.Path(sys.argv[1])).run()))
