"""One answer of one engine has bytes without end in its body."""

import asyncio
import time

import case

_TIMEOUT_S = 2.5
# What a client waits; the route's timeout is shorter.
_PATIENCE_MS = 8000
_GRACE_S = 0.5
_CALLS_PER_S = 5
_CALM_S = 3
_TROUBLED_S = 25


async def play(this: case.Case) -> bool:
    """Plays the case; returns whether the rule held."""
    await this.start_store()
    routes = [
        case.route("drafts", "streaming", "pool"),
        case.route("reads", "idempotent", "desk", round(1000 * _TIMEOUT_S)),
    ]
    await this.put("config", "main", case.configuration(1, routes))
    engines = [
        await this.start_engine(number, "pool", "ub-a")
        for number in (1, 2, 3, 4)
    ]
    for number in (1, 2):
        await this.start_engine(number, "desk", "ub-a")
    gateway = await this.start_gateway()
    await asyncio.sleep(4)
    if this.has_trouble:
        engines[0].process.order(endless=True)
    calls = {}
    drafts = []
    ready = []
    started_s = time.monotonic()
    for number in range((_CALM_S + _TROUBLED_S) * _CALLS_PER_S):
        name = f"read-{number}"
        calls[name] = asyncio.create_task(
            gateway.request(name, "/reads/r", deadline_ms=_PATIENCE_MS)
        )
        if number == _CALM_S * _CALLS_PER_S:
            this.note("drafts begin; the first at the faulty engine is hit")
            drafts = [
                asyncio.create_task(
                    gateway.request(
                        f"draft-{draft}", "/drafts/d", tokens="500,400"
                    )
                )
                for draft in range(12)
            ]
        if number % _CALLS_PER_S == 0:
            ready.append(asyncio.create_task(gateway.is_ready()))
        await asyncio.sleep(1 / _CALLS_PER_S)
    late = unanswered = 0
    for name, call in calls.items():
        answer = await call
        took_s = answer.ended_s - answer.sent_s
        if took_s < _TIMEOUT_S and answer.status:
            continue
        late += 1
        has_none = not answer.status or took_s > _TIMEOUT_S + _GRACE_S
        unanswered += has_none
        this.note(
            f"{name}, sent at {answer.sent_s - started_s:5.1f} s: status "
            f"{answer.status} after {took_s:.2f} s"
        )
    said = [await answer for answer in ready]
    this.note(f"{sum(said)} of {len(said)} questions to /ready got a 200")
    hit = sum(len(engine.process.told("endless")) for engine in engines)
    this.note(
        f"{hit} of {len(drafts)} drafts hit; {late} of {len(calls)} reads had "
        f"no answer at their route's timeout, {unanswered} of these had none "
        f"{_GRACE_S} s later"
    )
    for draft in drafts:
        draft.cancel()
    if this.has_trouble and not hit:
        raise case.CouldNotRunError("no draft went to the faulty engine")
    return late == 0 or unanswered <= late / 2


if __name__ == "__main__":
    case.Case(__file__).run(play)
