"""Admission of generations against the engine's predicted memory."""

import asyncio
from collections.abc import Callable
import statistics

from bronzeslip.admission import engine_view
from bronzeslip.admission import errors
from bronzeslip.admission import fair_queue
from bronzeslip.admission import gate
from bronzeslip.admission import length_estimator
from bronzeslip.admission import memory_forecast
from bronzeslip.admission import pending
from bronzeslip.admission import priorities
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.engine import messages
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
_FORECAST_AGE_S = 0.05
_MIN_WAIT_STEPS = 8


class MemoryGate(gate.AdmissionGate):
    """Admits generations while the predicted peak of memory has room.

    Attributes:
        used: Set once a generation has asked for a place.
        cached_prefixes: Returns the digest that the load carries.
    """

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        estimator: length_estimator.LengthEstimator | None = None,
    ) -> None:
        super().__init__(settings)
        self._estimator = estimator or length_estimator.LengthEstimator()
        self._deviations = statistics.NormalDist().inv_cdf(
            1 - settings.memory_overflow_probability
        )
        self.used = asyncio.Event()
        self.cached_prefixes: Callable[[], tuple[int, ...] | None] = lambda: (
            None
        )
        self._view = engine_view.EngineView()
        self._queue = fair_queue.FairQueue(settings.queue_ageing_ratio)
        self._held: dict[ticket.Ticket, memory_forecast.Occupant] = {}
        self._interactive: set[memory_forecast.Occupant] = set()
        self._forecast = memory_forecast.MemoryForecast()
        self._forecast_at_s = 0.0

    @property
    def load(self) -> link.EndpointLoad:
        """What runs and waits now, and what is expected."""
        forecast = self._current_forecast()
        usable = self._view.usable_tokens
        return link.EndpointLoad(
            running=self._running,
            queued=len(self._queue) + len(self._waiters),
            memory_used_ratio=forecast.now_tokens / usable,
            queue_wait_s=self._queue_wait_s(),
            draining=self._draining,
            memory_peak_ratio=forecast.peak_tokens(self._deviations) / usable,
            step_time_s=self._view.step_time_s,
            cached_prefixes=self.cached_prefixes(),
        )

    async def admit(self, wanted: request.AdmissionRequest) -> ticket.Ticket:
        """Waits for a place on the engine.

        Raises:
            errors.AdmissionRefusedError: If there will be none in time.
        """
        self.used.set()
        waiting = self._pending(wanted)
        if self._draining:
            raise self._refusal(reason.RefusalReason.DRAINING)
        if wanted.expires_in_s <= 0:
            raise self._refusal(reason.RefusalReason.EXPIRED)
        if not self._has_precedence(waiting) or not self._fits(waiting):
            self._check_wait(waiting)
            self._queue.rank(waiting, _now_s())
            await self._wait_in_queue(waiting)
        else:
            self._queue.rank(waiting, _now_s())
            self._take_place(waiting)
        held = ticket.Ticket(
            wanted, priorities.priority_of(wanted.workspace_class)
        )
        self._held[held] = waiting.occupant
        return held

    def progress(self, held: ticket.Ticket, generated_tokens: int) -> None:
        """Notes how far a generation has come."""
        self._estimator.add_progress(
            held.request, held.generated_tokens, generated_tokens
        )
        held.generated_tokens = generated_tokens
        self._held[held].generated_tokens = generated_tokens

    def release(self, held: ticket.Ticket, whole: bool) -> None:
        """Gives a place back.

        Args:
            held: The place.
            whole: Whether the output came to its own end.
        """
        occupant = self._held.pop(held)
        if whole:
            self._estimator.add_end(held.request, held.generated_tokens)
        if held.prompt_tokens:
            self._view.learn_prompt(
                held.request.prompt_bytes, held.prompt_tokens
            )
        self._give_place(occupant)
        self._admit_waiting()

    @property
    def block_bytes(self) -> float:
        """Bytes of prompt in one block of the engine."""
        return self._view.block_bytes

    def take_report(self, report: messages.EngineLoad) -> None:
        """Takes a load report of the engine in."""
        self._view.take_report(report, self._current_forecast().now_tokens)
        self._admit_waiting()

    def _pending(self, wanted: request.AdmissionRequest) -> pending.Pending:
        curve = self._estimator.curve(wanted)
        occupant = memory_forecast.Occupant(
            curve,
            self._view.prompt_tokens(wanted.prompt_bytes),
            0,
            wanted.max_tokens,
        )
        length = curve.mean_remaining(0, wanted.max_tokens)
        share = max(
            (occupant.prompt_tokens + length / 2) / self._view.usable_tokens,
            1 / self._settings.max_running_requests,
        )
        cost_s = share * length * self._view.step_time_s
        return pending.Pending(wanted, occupant, cost_s)

    def _has_precedence(self, waiting: pending.Pending) -> bool:
        return not self._queue.count(waiting.is_interactive)

    def _fits(self, waiting: pending.Pending) -> bool:
        if not self._running:
            return True
        places = self._settings.max_running_requests
        if self._running >= places:
            return False
        limit = self._view.usable_tokens
        if not waiting.is_interactive:
            kept_free = self._settings.interactive_reserve_ratio
            if self._running >= places * (1 - kept_free):
                return False
            limit *= 1 - kept_free
        elif self._takes_draft_floor(waiting):
            return False
        forecast = self._current_forecast()
        peak = forecast.peak_tokens(self._deviations, waiting.occupant)
        return peak <= limit

    def _takes_draft_floor(self, waiting: pending.Pending) -> bool:
        if not self._queue.count(is_interactive=False):
            return False
        used = waiting.occupant.prompt_tokens + sum(
            occupant.prompt_tokens + occupant.generated_tokens
            for occupant in self._interactive
        )
        floor = self._settings.draft_floor_ratio
        return used > self._view.usable_tokens * (1 - floor)

    def _check_wait(self, waiting: pending.Pending) -> None:
        if len(self._queue) >= self._settings.max_queued_requests:
            raise self._refusal(reason.RefusalReason.QUEUE_FULL)
        wait_s = self._expected_wait_s(waiting)
        if wait_s > waiting.request.max_queue_wait_s:
            raise self._refusal(reason.RefusalReason.BUSY)
        if wait_s > waiting.request.expires_in_s:
            raise self._refusal(reason.RefusalReason.EXPIRED)

    async def _wait_in_queue(self, waiting: pending.Pending) -> None:
        self._queue.add(waiting)
        try:
            async with asyncio.timeout(waiting.request.expires_in_s):
                await waiting.admitted
        except TimeoutError as error:
            self._abandon(waiting)
            raise self._refusal(reason.RefusalReason.EXPIRED) from error
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise

    def _abandon(self, waiting: pending.Pending) -> None:
        if waiting.admitted.done() and not waiting.admitted.cancelled():
            self._give_place(waiting.occupant)
        else:
            self._queue.remove(waiting)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while (found := self._next_fitting()) is not None:
            self._queue.remove(found)
            self._take_place(found)
            found.admitted.set_result(None)

    def _next_fitting(self) -> pending.Pending | None:
        for head in self._queue.heads():
            if self._fits(head):
                return head
        return None

    def _take_place(self, admitted: pending.Pending) -> None:
        self._queue.admit(admitted, _now_s())
        self._forecast.add(admitted.occupant)
        if admitted.is_interactive:
            self._interactive.add(admitted.occupant)
        self._enter_one()

    def _give_place(self, occupant: memory_forecast.Occupant) -> None:
        self._forecast.remove(occupant)
        self._interactive.discard(occupant)
        self._leave_one()

    def _current_forecast(self) -> memory_forecast.MemoryForecast:
        now_s = _now_s()
        if now_s - self._forecast_at_s > _FORECAST_AGE_S:
            self._forecast.refresh()
            self._forecast_at_s = now_s
        return self._forecast

    def _expected_wait_s(self, waiting: pending.Pending) -> float:
        steps = self._current_forecast().steps_until(
            self._view.usable_tokens, waiting.occupant.prompt_tokens
        )
        steps = max(steps, _MIN_WAIT_STEPS)
        return self._queue.cost_s + steps * self._view.step_time_s

    def _queue_wait_s(self) -> float:
        head = next(self._queue.heads(), None)
        return self._expected_wait_s(head) if head else 0.0

    def _refusal(
        self, refusal: reason.RefusalReason
    ) -> errors.AdmissionRefusedError:
        retry_after_s = min(
            max(self._queue_wait_s(), _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S
        )
        return errors.AdmissionRefusedError(refusal, retry_after_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
