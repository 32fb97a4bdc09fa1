"""Simulated caller that retries refused requests."""

import asyncio
import random

from bench import outcome
from bench import simulated_gateway
from bronzeslip.transport.frames import generation as frames

_RETRY_JITTER_RATIO = 0.5
_MIN_RETRY_DELAY_S = 0.05


async def send_with_retries(
    result: outcome.Outcome,
    gateway: simulated_gateway.SimulatedGateway,
    gateway_delay_s: float,
    rng: random.Random,
) -> None:
    """Sends a request at its arrival time and retries it after refusals.

    Retries end when the request finishes, is lost or times out.

    Args:
        result: Outcome that is filled in; it names the request.
        gateway: Gateway that receives the request.
        gateway_delay_s: One-way delay to the gateway, in seconds.
        rng: Source of the retry jitter.
    """
    loop = asyncio.get_running_loop()
    arrival = result.arrival
    await asyncio.sleep(arrival.at_s - loop.time())
    deadline_s = arrival.at_s + arrival.timeout_s
    while loop.time() < deadline_s:
        result.sent_count += 1
        await asyncio.sleep(gateway_delay_s)
        terminal = await gateway.run(result, deadline_s - loop.time())
        await asyncio.sleep(gateway_delay_s)
        if isinstance(terminal, frames.GenerationFinished):
            result.finished_s = loop.time()
            return
        if isinstance(terminal, frames.GenerationLost):
            result.lost = True
            return
        result.refused_count += 1
        retry_delay_s = max(terminal.retry_after_s, _MIN_RETRY_DELAY_S)
        await asyncio.sleep(
            retry_delay_s * (1 + rng.random() * _RETRY_JITTER_RATIO)
        )
