# ruff: noqa: ANN001, ANN201, ANN202
"""Case 9: a body of short lines without end makes a gateway hang.

One model engine of five is in trouble: some of its streams go on with bytes
that are no events, one short line a chunk, until the gateway closes. All other
servers are sound. Judged are the calls to the other service: of those that are
unanswered at the timeout of their route, more than half must have an answer
half a second later.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "lib2"))

import kit

_ENGINES = 5
_DESKS = 3
_STREAMS_PER_S = 4.0
_CALLS_PER_S = 10.0
# Traffic starts as long after the machines as on the deployment.
_LEAD_S = 12.0
_CALM_S = 4.0
# As long as the shortest `garble` of the site is played at most.
_TROUBLE_S = 5.5
_MAX_FAULTY = 3
_END_S = 6.0
_TIMEOUT_S = 0.8
_LATE_S = 0.5
_MIN_COUNT = 8
_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNK = b"%x\r\n%s\r\n" % (len(_LINE), _LINE)


class FaultyEngine(kit.Engine):
    """An engine that is in trouble for some time.

    Attributes:
        is_faulty: Whether it is in trouble.
        faulty_count: Number of its answers that were hit.
    """

    is_faulty = False
    faulty_count = 0

    async def write_event(self, writer, event):
        """Writes an event, or lines without end while in trouble."""
        if not self.is_faulty or self.faulty_count == _MAX_FAULTY:
            await super().write_event(writer, event)
            return
        self.faulty_count += 1
        while True:
            writer.write(_CHUNK * 100)
            await writer.drain()
            await asyncio.sleep(0.02)


async def play(record, folder):
    """Plays the case; returns whether the rule held."""
    store = kit.Store()
    await store.listen()
    store.put("config", "main", kit.configuration())
    desks = [kit.Server(store, "desk", record) for _ in range(_DESKS)]
    engines = [kit.Engine(store, "pool", record) for _ in range(_ENGINES - 1)]
    faulty = FaultyEngine(store, "pool", record)
    for server in (*desks, *engines, faulty):
        await server.start()
    gateway = kit.Gateway(store, folder, "front-brum-a-1")
    gateway.start()
    try:
        await gateway.wait_ready()
        await asyncio.sleep(_LEAD_S)
        return await _run(record, gateway, faulty)
    finally:
        gateway.stop()


async def _run(record, gateway, faulty):
    calls, streams = [], []
    end_s = time.monotonic() + _CALM_S + _TROUBLE_S + _END_S
    traffic = [
        asyncio.create_task(_send_calls(record, gateway, calls, end_s)),
        asyncio.create_task(_send_streams(record, gateway, streams, end_s)),
        asyncio.create_task(_watch_ready(record, gateway, end_s)),
    ]
    await asyncio.sleep(_CALM_S)
    faulty.is_faulty = kit.is_trouble_on()
    record.say(f"{faulty.server_id} in trouble: {faulty.is_faulty}")
    await asyncio.sleep(_TROUBLE_S)
    faulty.is_faulty = False
    record.say(f"trouble over, {faulty.faulty_count} answers were faulty")
    await asyncio.gather(*traffic)
    await asyncio.gather(*calls, *streams)
    answers = [task.result() for task in calls]
    if gateway.exit_status is not None:
        record.say(f"the gateway has ended: {gateway.exit_status}")
        return False
    unanswered = [a for a in answers if a.took_s > _TIMEOUT_S]
    late = [a for a in unanswered if a.took_s > _TIMEOUT_S + _LATE_S]
    good = sum(a.status == 200 and a.is_complete for a in answers)
    record.say(
        f"{len(answers)} calls, {good} answered with 200, "
        f"{len(unanswered)} unanswered at {_TIMEOUT_S} s, of these "
        f"{len(late)} unanswered {_LATE_S} s later"
    )
    longest_s = max(a.took_s for a in answers)
    record.say(f"longest: {longest_s:.2f} s")
    return len(late) < _MIN_COUNT or 2 * len(late) <= len(unanswered)


async def _send_calls(record, gateway, calls, end_s):
    number = 0
    while time.monotonic() < end_s:
        number += 1
        if number % 3:
            method, path, body = "POST", "/award/2f", b"x" * 600
        else:
            method, path, body = "GET", "/ledger/2f", b""
        calls.append(
            asyncio.create_task(_call(record, gateway, method, path, body))
        )
        await asyncio.sleep(1 / _CALLS_PER_S)


async def _call(record, gateway, method, path, body):
    request_id = kit.new_id("call")
    record.add(f"client sends {request_id} {method} {path}")
    # A client reads on here, to see when the answer comes.
    answer = await kit.call(
        gateway.host,
        gateway.front,
        method,
        path,
        kit.client_fields(request_id, 1_500),
        body,
        10.0,
    )
    record.add(
        f"client has {request_id}: status {answer.status}, "
        f"complete {answer.is_complete}, after {answer.took_s:.3f} s"
    )
    return answer


async def _send_streams(record, gateway, streams, end_s):
    while time.monotonic() < end_s:
        streams.append(asyncio.create_task(_stream(record, gateway)))
        await asyncio.sleep(1 / _STREAMS_PER_S)


async def _stream(record, gateway):
    request_id = kit.new_id("stream")
    record.add(f"client sends {request_id} POST /spec/2f")
    answer = await kit.call(
        gateway.host,
        gateway.front,
        "POST",
        "/spec/2f",
        kit.client_fields(request_id, 39_000, (3_000, 944)),
        b"x" * 2_000,
        12.0,
    )
    record.add(
        f"client has {request_id}: status {answer.status}, "
        f"complete {answer.is_complete}, after {answer.took_s:.3f} s"
    )


async def _watch_ready(record, gateway, end_s):
    while time.monotonic() < end_s:
        if not await gateway.is_ready():
            record.add("the question for readiness has no 200 in 1 s")
        await asyncio.sleep(1.0)


if __name__ == "__main__":
    kit.main(play, pathlib.Path(__file__).parent)
