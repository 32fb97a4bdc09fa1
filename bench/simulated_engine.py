"""Engine model of the engine stand-in, run in virtual time."""

import asyncio
from collections.abc import Callable

from bench import outcome
from bronzeslip.engine import messages
from standins.engine import model
from standins.engine import sequence

_EVENT_GAP_INTERVAL = 1999


class SimulatedEngine:
    """Runs the step loop of one engine model."""

    def __init__(self, parameters: model.EngineParameters) -> None:
        self.model = model.EngineModel(parameters)
        self.slow_factor = 1.0
        self._work_available = asyncio.Event()
        self._completions: dict[sequence.Sequence, asyncio.Future[bool]] = {}
        self._outcomes: dict[sequence.Sequence, outcome.Outcome] = {}
        self._token_callbacks: dict[
            sequence.Sequence, Callable[[int], None]
        ] = {}
        self._task = asyncio.create_task(self._run())

    async def generate(
        self,
        new_sequence: sequence.Sequence,
        result: outcome.Outcome,
        on_token: Callable[[int], None],
    ) -> bool:
        """Runs a sequence and returns whether it ran to completion."""
        completion = asyncio.get_running_loop().create_future()
        self._completions[new_sequence] = completion
        self._outcomes[new_sequence] = result
        self._token_callbacks[new_sequence] = on_token
        self.model.add(new_sequence)
        self._work_available.set()
        return await completion

    def crash(self) -> None:
        """Interrupts all sequences and restarts the engine at once, empty."""
        interrupted = list(self._completions)
        preemptions_total = self.model.preemptions_total
        self.model = model.EngineModel(self.model.parameters)
        self.model.preemptions_total = preemptions_total
        for interrupted_sequence in interrupted:
            self._complete(interrupted_sequence, False)

    def cache_events(
        self, after_sequence: int
    ) -> tuple[messages.CacheEvent, ...]:
        """Returns the cache events after a sequence number.

        Every event whose number is a multiple of _EVENT_GAP_INTERVAL is left
        out, as if it had been lost.
        """
        return tuple(
            event
            for event in self.model.cache.events[after_sequence:]
            if event.sequence % _EVENT_GAP_INTERVAL
        )

    def load(self) -> messages.EngineLoad:
        """Returns the current load of the engine."""
        parameters = self.model.parameters
        return messages.EngineLoad(
            len(self.model.running),
            len(self.model.waiting),
            self.model.blocks_used,
            parameters.blocks_total,
            parameters.block_tokens,
            self.model.step_time_s() * self.slow_factor,
            self.model.preemptions_total,
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.model.is_idle:
                self._work_available.clear()
                await self._work_available.wait()
            await asyncio.sleep(self.model.step_time_s() * self.slow_factor)
            now_s = loop.time()
            for current in self.model.step():
                self._outcomes[current].add_token(now_s)
                self._token_callbacks[current](len(current.texts))
                if current.state is sequence.SequenceState.FINISHED:
                    self._complete(current, True)

    def _complete(self, current: sequence.Sequence, is_complete: bool) -> None:
        self._outcomes.pop(current)
        self._token_callbacks.pop(current)
        self._completions.pop(current).set_result(is_complete)
