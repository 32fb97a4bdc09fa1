"""Callers of servers that hand out wrong bytes.

Usage: python3 -m review.lib3.stamp_trial FOLDER

It writes FOLDER/record.txt and exits with 1 if a caller got a success without
the signature of a server, 0 if none did and 2 if the trial couldn't run.
TROUBLE=0 leaves the servers sound.
"""

import asyncio
import collections
import os
import pathlib
import sys
import tempfile

from review.lib3 import callers
from review.lib3 import deployment
from review.lib3 import desk
from review.lib3 import gateway

_CALM_S = 3.0
# The site file: garble, share 0.35, x 0.02, for 5.5 s. One of three servers
# spoils each 50th of its answers.
_FAULTY_S = 5.5
_EVERY = 50
_CALLERS = 10
_PAUSE_S = 0.02
_TIMEOUT_S = 0.8
_DEADLINE_S = 1.5


async def _run(folder: pathlib.Path) -> int:
    lines: list[str] = []
    try:
        with tempfile.TemporaryDirectory() as name:
            return await _play(pathlib.Path(name), lines)
    finally:
        (folder / "record.txt").write_text("\n".join([*lines, ""]))


async def _play(folder: pathlib.Path, lines: list[str]) -> int:
    faulty = desk.SpoilingDesk("i-desk-0", "desk", 0.02, _EVERY)
    desks = [faulty]
    desks += [desk.Desk(f"i-desk-{n}", "desk", 0.02) for n in (1, 2)]
    try:
        front = await deployment.start(folder, desks, round(_TIMEOUT_S * 1000))
    except RuntimeError as error:
        lines.append(str(error))
        return 2
    attempts: list[callers.Attempt] = []
    ends = asyncio.Event()
    try:
        tasks = [
            asyncio.create_task(_call(front, attempts, ends, number))
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(_CALM_S)
        faulty.is_faulty = os.environ.get("TROUBLE") != "0"
        await asyncio.sleep(_FAULTY_S)
        faulty.is_faulty = False
        await asyncio.sleep(_CALM_S)
        ends.set()
        await asyncio.gather(*tasks)
    finally:
        front.stop()
    return _judge(attempts, desks, faulty, lines)


async def _call(
    front: gateway.Gateway,
    attempts: list[callers.Attempt],
    ends: asyncio.Event,
    number: int,
) -> None:
    caller = callers.Caller((front.host, front.port), attempts)
    is_read = number % 2 == 0
    while not ends.is_set():
        if is_read:
            await caller.call("idempotent", "/reads/1", _DEADLINE_S)
        else:
            await caller.call("non_idempotent", "/calls/1", _DEADLINE_S)
        is_read = not is_read
        await asyncio.sleep(_PAUSE_S)
    caller.close()


def _judge(
    attempts: list[callers.Attempt],
    desks: list[desk.Desk],
    faulty: desk.SpoilingDesk,
    lines: list[str],
) -> int:
    outcomes = collections.Counter(a.outcome for a in attempts)
    lines.append(f"{len(attempts)} calls, {dict(outcomes)}")
    for server in desks:
        lines.append(f"server {server.instance_id} ran {len(server.runs)}")
    lines.append(f"{len(faulty.spoiled)} answers of i-desk-0 were spoiled")
    spoiled = set(faulty.spoiled)
    for attempt in attempts:
        if attempt.attempt_id in spoiled:
            lines.append(
                f"request {attempt.attempt_id} ({attempt.kind}): its answer "
                f"was spoiled, the client got {attempt.outcome}, signature: "
                f"{attempt.is_signed}"
            )
    unsigned = [
        a for a in attempts if a.outcome.startswith("2") and not a.is_signed
    ]
    lines.append(f"successes without a signature: {len(unsigned)}")
    lines.append("broken" if unsigned else "held")
    print("\n".join(lines), flush=True)
    return 1 if unsigned else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_run(pathlib.Path(sys.argv[1]))))
