"""The answer of a stream is lost while its engine works on."""

import asyncio

import case

_EVENTS = 200
_STREAMS = 70
# One in so many streams of the engine loses its answer.
_LOST_EVERY = 20
_STILL_S = 0.4
_ZONES = ("ub-a", "dk-a", "er-a")


async def play(this: case.Case) -> bool:
    """Plays the case; returns whether the rule held."""
    await this.start_store()
    routes = [case.route("drafts", "streaming", "pool")]
    await this.put("config", "main", case.configuration(1, routes, moves=True))
    engines = [
        await this.start_engine(number, "pool", zone, "--event-ms=50")
        for number, zone in enumerate(_ZONES)
    ]
    gateway = await this.start_gateway()
    await asyncio.sleep(4)
    faulty = engines[0]
    faulty.process.order(lost_every=_LOST_EVERY if this.has_trouble else 0)
    # From requests a gateway earns the retries that it needs to go on.
    for number in range(20):
        await gateway.request(f"short-{number}", "/drafts/d", tokens="9,4")
    requests = {}
    for number in range(_STREAMS):
        name = f"draft-{number}"
        requests[name] = asyncio.create_task(
            gateway.request(name, "/drafts/d", tokens=f"300,{4 * _EVENTS}")
        )
        await asyncio.sleep(0.05)
    answers = {name: await request for name, request in requests.items()}
    await asyncio.sleep(1)
    lost = [told["request"] for told in faulty.process.told("answer_lost")]
    ended = {
        told["request"]: told["t"] for told in faulty.process.told("stream_end")
    }
    this.note(f"answers lost at {faulty.id}: {sorted(lost) or 'none'}")
    held = True
    for engine in engines[1:]:
        for run in engine.process.told("ran"):
            if not run["source"]:
                continue
            name = run["request"]
            still_s = ended.get(name, 0) - run["t"]
            held = held and still_s <= _STILL_S
            this.note(
                f"{name} went on at {engine.id} after event {run['after']}; "
                f"{faulty.id} worked on it for {still_s:.2f} s more"
            )
    whole = sum(
        answer.is_complete and len(answer.events) == _EVENTS
        for answer in answers.values()
    )
    this.note(f"{whole} of {_STREAMS} streams whole")
    if this.has_trouble and not lost:
        raise case.CouldNotRunError("no answer was lost")
    return held


if __name__ == "__main__":
    case.Case(__file__).run(play)
