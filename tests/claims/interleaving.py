"""Steps of concurrent tasks, taken in an order that a test draws."""

import asyncio
import enum

_SETTLE_ROUNDS = 40


class Fault(enum.Enum):
    """What happens to one message or platform call."""

    NONE = "none"
    DROPPED = "dropped"
    ANSWER_LOST = "answer-lost"
    LATE = "late"


class Interleaving:
    """Holds every step until the test releases it."""

    def __init__(self):
        self._blocked_steps = []

    async def step(self):
        """Waits to be released and returns the fault drawn."""
        released = asyncio.get_running_loop().create_future()
        self._blocked_steps.append(released)
        return await released

    @property
    def blocked_count(self):
        return len(self._blocked_steps)

    async def settle(self):
        """Lets every task run until it is held or done."""
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)
        self._blocked_steps = [
            blocked for blocked in self._blocked_steps if not blocked.done()
        ]

    def release(self, index, fault):
        self._blocked_steps.pop(index).set_result(fault)


async def perform(interleaving, tasks, effect, on_lost):
    """Carries out an effect under the fault drawn for it.

    Args:
        interleaving: Holds the step.
        tasks: Set that keeps late effects alive.
        effect: Coroutine function with the effect.
        on_lost: Called for the result when no answer comes back.
    """
    fault = await interleaving.step()
    if fault is Fault.NONE:
        return await effect()
    if fault is Fault.ANSWER_LOST:
        try:
            await effect()
        except Exception:
            return on_lost()
    elif fault is Fault.LATE:
        tasks.add(asyncio.create_task(_late(interleaving, effect)))
    return on_lost()


async def _late(interleaving, effect):
    await interleaving.step()
    try:
        await effect()
    except Exception:
        return
