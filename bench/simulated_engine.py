"""The engine stand-in's model, stepped in virtual time."""

import asyncio
from collections.abc import Callable

from bench import outcome
from bronzeslip.engine import messages
from standins.engine import model
from standins.engine import sequence

_EVENT_GAP_EVERY = 1999


class SimulatedEngine:
    """Runs the batches of one engine."""

    def __init__(self, shape: model.EngineShape) -> None:
        self.model = model.EngineModel(shape)
        self.slow_factor = 1.0
        self._work = asyncio.Event()
        self._ended: dict[sequence.Sequence, asyncio.Future[bool]] = {}
        self._outcomes: dict[sequence.Sequence, outcome.Outcome] = {}
        self._listeners: dict[sequence.Sequence, Callable[[int], None]] = {}
        self._task = asyncio.create_task(self._run())

    async def generate(
        self,
        wanted: sequence.Sequence,
        result: outcome.Outcome,
        on_token: Callable[[int], None],
    ) -> bool:
        """Runs a sequence; returns whether it came to its end."""
        ended = asyncio.get_running_loop().create_future()
        self._ended[wanted] = ended
        self._outcomes[wanted] = result
        self._listeners[wanted] = on_token
        self.model.add(wanted)
        self._work.set()
        return await ended

    def crash(self) -> None:
        """Loses everything that runs; the engine is back at once, empty."""
        lost = list(self._ended)
        preemptions_total = self.model.preemptions_total
        self.model = model.EngineModel(self.model.shape)
        self.model.preemptions_total = preemptions_total
        for one in lost:
            self._end(one, False)

    def cache_events(
        self, after_sequence: int
    ) -> tuple[messages.CacheEvent, ...]:
        """Returns the events after a sequence number, with gaps."""
        return tuple(
            event
            for event in self.model.cache.events[after_sequence:]
            if event.sequence % _EVENT_GAP_EVERY
        )

    def load(self) -> messages.EngineLoad:
        """Returns the load as the engine would report it now."""
        shape = self.model.shape
        return messages.EngineLoad(
            len(self.model.running),
            len(self.model.waiting),
            self.model.blocks_used,
            shape.blocks_total,
            shape.block_tokens,
            self.model.step_time_s() * self.slow_factor,
            self.model.preemptions_total,
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.model.idle:
                self._work.clear()
                await self._work.wait()
            await asyncio.sleep(self.model.step_time_s() * self.slow_factor)
            now_s = loop.time()
            for current in self.model.step():
                self._outcomes[current].add_token(now_s)
                self._listeners[current](len(current.texts))
                if current.state is sequence.SequenceState.FINISHED:
                    self._end(current, True)

    def _end(self, current: sequence.Sequence, whole: bool) -> None:
        self._outcomes.pop(current)
        self._listeners.pop(current)
        self._ended.pop(current).set_result(whole)
