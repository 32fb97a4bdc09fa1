"""One caller, who sends again after a refusal."""

import asyncio
import random

from bench import outcome
from bench import simulated_gateway
from bronzeslip.transport.frames import generation as frames

_RESEND_JITTER = 0.5
_MIN_RESEND_S = 0.05


async def call(
    result: outcome.Outcome,
    gateway: simulated_gateway.SimulatedGateway,
    to_gateway_s: float,
    rng: random.Random,
) -> None:
    """Sends a request at its time until it is answered or patience ends."""
    loop = asyncio.get_running_loop()
    arrival = result.arrival
    await asyncio.sleep(arrival.at_s - loop.time())
    give_up_s = arrival.at_s + arrival.patience_s
    while loop.time() < give_up_s:
        result.sent_count += 1
        await asyncio.sleep(to_gateway_s)
        terminal = await gateway.run(result, give_up_s - loop.time())
        await asyncio.sleep(to_gateway_s)
        if isinstance(terminal, frames.GenerationFinished):
            result.finished_s = loop.time()
            return
        if isinstance(terminal, frames.GenerationLost):
            result.lost = True
            return
        result.refused_count += 1
        wait_s = max(terminal.retry_after_s, _MIN_RESEND_S)
        await asyncio.sleep(wait_s * (1 + rng.random() * _RESEND_JITTER))
