"""Ordinary callers beside a crowd of clients that don't behave.

Usage: python3 -m review.lib3.crowd_trial FOLDER COUNT BEHAVIOUR CHECK

CHECK is "memory" or "served". It writes FOLDER/record.txt and exits with 1 if
what the users ask was broken, 0 if it held and 2 if the trial couldn't run.
TROUBLE=0 leaves the crowd out.
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

_CALM_S = 6.0
_CROWD_S = 24.0
# As on the sheet: the route's timeout, and the deadline of the callers.
_TIMEOUT_S = 0.8
_DEADLINE_S = 1.5
# Time after the timeout by which half of the unanswered requests have one.
_SLACK_S = 0.5
_MIN_UNANSWERED = 20
_CALLERS = 10
_PAUSE_S = 0.5
_SAMPLE_S = 0.05
_LIMIT_BYTES = gateway.MEMORY_MB * 1_000_000


class Trial:
    """One gateway, three servers, ten callers and a crowd."""

    def __init__(
        self, folder: pathlib.Path, count: int, behaviour: str, check: str
    ) -> None:
        self._folder = folder
        self._check = check
        self._count = count
        self._behaviour = behaviour
        self._lines: list[str] = []
        self._attempts: list[callers.Attempt] = []
        self._peak_bytes = 0
        self._peak_own_bytes = 0
        self._is_killed = False
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
                return await self._run(pathlib.Path(name))
        finally:
            record = "\n".join([*self._lines, ""])
            (self._folder / "record.txt").write_text(record)

    async def _run(self, folder: pathlib.Path) -> int:
        desks = [desk.Desk(f"i-desk-{n}", "desk", 0.02) for n in range(3)]
        try:
            front = await deployment.start(
                folder, desks, round(_TIMEOUT_S * 1000)
            )
        except RuntimeError as error:
            self.note(str(error))
            return 2
        try:
            return await self._play(front, desks)
        finally:
            front.stop()

    async def _play(
        self, front: gateway.Gateway, desks: list[desk.Desk]
    ) -> int:
        own_bytes = process_memory.own_bytes(front.process.pid)
        self.note(f"gateway is ready, {own_bytes / 1e6:.0f} MB resident")
        ends = asyncio.Event()
        tasks = [
            asyncio.create_task(self._call(front, ends, number))
            for number in range(_CALLERS)
        ]
        tasks.append(asyncio.create_task(self._sample(front, ends)))
        await asyncio.sleep(_CALM_S)
        begin_s = asyncio.get_running_loop().time()
        crowd = self._start_crowd(front)
        try:
            await asyncio.sleep(_CROWD_S)
        finally:
            if crowd is not None:
                crowd.kill()
                crowd.wait()
        end_s = asyncio.get_running_loop().time()
        self.note("the crowd has gone")
        await asyncio.sleep(_CALM_S)
        ends.set()
        await asyncio.gather(*tasks)
        return self._judge(front, desks, begin_s, end_s)

    def _start_crowd(self, front: gateway.Gateway) -> subprocess.Popen | None:
        if os.environ.get("TROUBLE") == "0":
            self.note("no crowd")
            return None
        self.note(f"{self._count} clients of kind {self._behaviour} come")
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "review.lib3.crowd",
                front.host,
                str(front.port),
                str(self._count),
                self._behaviour,
            ],
            cwd=gateway.ROOT,
            stdin=subprocess.DEVNULL,
        )

    async def _call(
        self, front: gateway.Gateway, ends: asyncio.Event, number: int
    ) -> None:
        caller = callers.Caller((front.host, front.port), self._attempts)
        await asyncio.sleep(number * _PAUSE_S / _CALLERS)
        is_read = number % 2 == 0
        while not ends.is_set():
            if is_read:
                await caller.call("idempotent", "/reads/1", _DEADLINE_S)
            else:
                await caller.call("non_idempotent", "/calls/1", _DEADLINE_S)
            is_read = not is_read
            await asyncio.sleep(_PAUSE_S)
        caller.close()

    async def _sample(
        self, front: gateway.Gateway, ends: asyncio.Event
    ) -> None:
        pid = front.process.pid
        while not ends.is_set() and front.process.poll() is None:
            try:
                own = process_memory.own_bytes(pid)
                total = own + await asyncio.to_thread(
                    process_memory.unread_bytes, pid
                )
            except (OSError, AttributeError):
                break
            self._peak_own_bytes = max(self._peak_own_bytes, own)
            self._peak_bytes = max(self._peak_bytes, total)
            if self._check == "memory" and total > _LIMIT_BYTES:
                self.note(
                    f"memory over the limit: {own / 1e6:.0f} MB of its own and "
                    f"{(total - own) / 1e6:.0f} MB received and not read; "
                    "killed, as the platform does"
                )
                self._is_killed = True
                front.process.kill()
            await asyncio.sleep(_SAMPLE_S)

    def _judge(
        self,
        front: gateway.Gateway,
        desks: list[desk.Desk],
        begin_s: float,
        end_s: float,
    ) -> int:
        runs = collections.Counter(run for one in desks for run in one.runs)
        spans = {
            "before": lambda a: a.sent_s < begin_s - _DEADLINE_S,
            "crowd": lambda a: begin_s <= a.sent_s < end_s - _DEADLINE_S,
            "after": lambda a: a.sent_s >= end_s,
        }
        for name, is_in in spans.items():
            inside = [a for a in self._attempts if is_in(a)]
            outcomes = collections.Counter(a.outcome for a in inside)
            slowest_s = max((a.took_s for a in inside), default=0.0)
            self.note(
                f"{name}: {len(inside)} calls, {dict(outcomes)}, slowest "
                f"{slowest_s:.2f} s"
            )
        closed = [
            a
            for a in self._attempts
            if a.outcome == "closed" and a.is_kept and runs[a.attempt_id]
        ]
        self.note(
            f"kept connections closed under a call that ran: {len(closed)}"
        )
        twice = [
            a
            for a in self._attempts
            if a.kind != "idempotent" and runs[a.attempt_id] > 1
        ]
        refused = [
            a
            for a in self._attempts
            if a.outcome in ("408", "421", "429", "503") and runs[a.attempt_id]
        ]
        self.note(f"calls that were refused and ran: {len(refused)}")
        self.note(f"calls that may run once and ran twice: {len(twice)}")
        self.note(
            f"peak memory {self._peak_own_bytes / 1e6:.0f} MB of its own, "
            f"{self._peak_bytes / 1e6:.0f} MB with what is unread, limit "
            f"{_LIMIT_BYTES / 1e6:.0f} MB"
        )
        has_ended = front.process.poll() is not None
        if has_ended and not self._is_killed:
            self.note("the process has ended by itself")
        is_broken = has_ended
        if self._check == "served":
            is_broken = self._is_unanswered(begin_s, end_s) or has_ended
        self.note("broken" if is_broken else "held")
        return 1 if is_broken else 0

    def _is_unanswered(self, begin_s: float, end_s: float) -> bool:
        """Judges the requests that are unanswered at their route's timeout."""
        late = [
            a
            for a in self._attempts
            if begin_s <= a.sent_s < end_s - _DEADLINE_S
            and a.took_s > _TIMEOUT_S
        ]
        unanswered = [
            a
            for a in late
            if a.outcome == "no answer" or a.took_s > _TIMEOUT_S + _SLACK_S
        ]
        self.note(
            f"{len(late)} calls had no answer at the timeout of their route, "
            f"{len(unanswered)} of them none {_SLACK_S} s later"
        )
        return len(late) >= _MIN_UNANSWERED and len(unanswered) > len(late) / 2


if __name__ == "__main__":
    trial = Trial(
        pathlib.Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], sys.argv[4]
    )
    sys.exit(asyncio.run(trial.run()))
