"""Runs the steps of concurrent tasks in an order drawn by a test."""

import asyncio
import enum

_SETTLE_ROUNDS = 40


class Fault(enum.Enum):
    """Fault of one message or platform call.

    Attributes:
        NONE: The effect takes place and its result is returned.
        DROPPED: The effect does not take place.
        ANSWER_LOST: The effect takes place, but its result is lost.
        LATE: The result is lost, and the effect takes place later.
    """

    NONE = "none"
    DROPPED = "dropped"
    ANSWER_LOST = "answer-lost"
    LATE = "late"


class Interleaving:
    """Blocks every step until the test releases it."""

    def __init__(self):
        self._blocked_steps = []

    async def step(self):
        """Blocks until released and returns the fault drawn for the step."""
        released = asyncio.get_running_loop().create_future()
        self._blocked_steps.append(released)
        return await released

    @property
    def blocked_count(self):
        return len(self._blocked_steps)

    async def settle(self):
        """Lets every task run until it is blocked or done."""
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)
        self._blocked_steps = [
            blocked for blocked in self._blocked_steps if not blocked.done()
        ]

    def release(self, index, fault):
        self._blocked_steps.pop(index).set_result(fault)


async def perform(interleaving, tasks, effect, on_lost):
    """Performs an effect under the fault drawn for it.

    Args:
        interleaving: Blocks the step.
        tasks: Set that holds references to the tasks of late effects.
        effect: Coroutine function with the effect.
        on_lost: Returns the result when no response arrives.
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
        tasks.add(asyncio.create_task(_perform_late(interleaving, effect)))
    return on_lost()


async def _perform_late(interleaving, effect):
    await interleaving.step()
    try:
        await effect()
    except Exception:
        return
