"""Admission of generations based on the engine's predicted memory use."""

import asyncio
from collections.abc import Callable
import statistics

from bronzeslip.admission import engine_view
from bronzeslip.admission import errors
from bronzeslip.admission import fair_queue
from bronzeslip.admission import gate
from bronzeslip.admission import length_estimator
from bronzeslip.admission import memory_forecast
from bronzeslip.admission import pending_request
from bronzeslip.admission import priorities
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.engine import messages
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
_MAX_FORECAST_AGE_S = 0.05
_MIN_WAIT_STEPS = 8


class MemoryGate(gate.AdmissionGate):
    """Admits generations while the predicted memory peak fits the engine.

    Attributes:
        first_request_seen: Set when the first generation requests admission.
        get_cached_prefixes: Returns the hashes of cached prefixes to include
            in the reported load.
    """

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        estimator: length_estimator.LengthEstimator | None = None,
    ) -> None:
        super().__init__(settings)
        self._estimator = estimator or length_estimator.LengthEstimator()
        self._overflow_z_score = statistics.NormalDist().inv_cdf(
            1 - settings.memory_overflow_probability
        )
        self.first_request_seen = asyncio.Event()
        self.get_cached_prefixes: Callable[[], tuple[int, ...] | None] = (
            lambda: None
        )
        self._engine_view = engine_view.EngineView()
        self._queue = fair_queue.FairQueue(settings.queue_ageing_ratio)
        self._sequences: dict[
            ticket.Ticket, memory_forecast.ForecastSequence
        ] = {}
        self._interactive_sequences: set[memory_forecast.ForecastSequence] = (
            set()
        )
        self._forecast = memory_forecast.MemoryForecast()
        self._forecast_time_s = 0.0

    @property
    def load(self) -> link.EndpointLoad:
        """Current and predicted load."""
        forecast = self._current_forecast()
        usable = self._engine_view.usable_tokens
        return link.EndpointLoad(
            running=self._running,
            queued=len(self._queue) + len(self._waiters),
            memory_used_ratio=forecast.used_tokens / usable,
            queue_wait_s=self._queue_wait_s(),
            draining=self._refuses_work,
            memory_peak_ratio=forecast.peak_tokens(self._overflow_z_score)
            / usable,
            step_time_s=self._engine_view.step_time_s,
            cached_prefixes=self.get_cached_prefixes(),
        )

    async def admit(
        self, admission_request: request.AdmissionRequest
    ) -> ticket.Ticket:
        """Waits until a generation may run on the engine.

        Raises:
            errors.AdmissionRefusedError: If the endpoint admits no requests,
                the queue is full, or the request cannot be admitted in time.
        """
        self.first_request_seen.set()
        pending = self._create_pending(admission_request)
        if self._refuses_work:
            raise self._create_refusal(reason.RefusalReason.DRAINING)
        if admission_request.expires_in_s <= 0:
            raise self._create_refusal(reason.RefusalReason.EXPIRED)
        if not self._is_class_queue_empty(pending) or not self._fits(pending):
            self._check_queue_limits(pending)
            self._queue.assign_rank(pending, _now_s())
            await self._wait_in_queue(pending)
        else:
            self._queue.assign_rank(pending, _now_s())
            self._start_sequence(pending)
        admission_ticket = ticket.Ticket(
            admission_request,
            priorities.priority_of(admission_request.workspace_class),
        )
        self._sequences[admission_ticket] = pending.sequence
        return admission_ticket

    def record_progress(
        self, admission_ticket: ticket.Ticket, generated_tokens: int
    ) -> None:
        """Records the number of tokens that a generation has produced."""
        self._estimator.add_progress(
            admission_ticket.request,
            admission_ticket.generated_tokens,
            generated_tokens,
        )
        admission_ticket.generated_tokens = generated_tokens
        self._sequences[admission_ticket].generated_tokens = generated_tokens

    def release(
        self, admission_ticket: ticket.Ticket, is_complete: bool
    ) -> None:
        """Releases the engine memory of a generation.

        Args:
            admission_ticket: Ticket of the generation.
            is_complete: Whether the output completed on its own.
        """
        sequence = self._sequences.pop(admission_ticket)
        if is_complete:
            self._estimator.add_completion(
                admission_ticket.request, admission_ticket.generated_tokens
            )
        if admission_ticket.prompt_tokens:
            self._engine_view.observe_prompt(
                admission_ticket.request.prompt_bytes,
                admission_ticket.prompt_tokens,
            )
        self._end_sequence(sequence)
        self._admit_pending()

    @property
    def block_bytes(self) -> float:
        """Average number of prompt bytes in one block of the engine's cache."""
        return self._engine_view.block_bytes

    def apply_report(self, report: messages.EngineLoad) -> None:
        """Applies a load report of the engine."""
        self._engine_view.apply_report(
            report, self._current_forecast().used_tokens
        )
        self._admit_pending()

    def _create_pending(
        self, admission_request: request.AdmissionRequest
    ) -> pending_request.PendingRequest:
        curve = self._estimator.curve(admission_request)
        sequence = memory_forecast.ForecastSequence(
            curve,
            self._engine_view.estimate_prompt_tokens(
                admission_request.prompt_bytes
            ),
            0,
            admission_request.max_tokens,
        )
        expected_tokens = curve.mean_remaining(0, admission_request.max_tokens)
        engine_share = max(
            (sequence.prompt_tokens + expected_tokens / 2)
            / self._engine_view.usable_tokens,
            1 / self._settings.max_running_requests,
        )
        cost_s = engine_share * expected_tokens * self._engine_view.step_time_s
        return pending_request.PendingRequest(
            admission_request, sequence, cost_s
        )

    def _is_class_queue_empty(
        self, pending: pending_request.PendingRequest
    ) -> bool:
        return not self._queue.count(pending.is_interactive)

    def _fits(self, pending: pending_request.PendingRequest) -> bool:
        if not self._running:
            return True
        max_running = self._settings.max_running_requests
        if self._running >= max_running:
            return False
        limit_tokens = self._engine_view.usable_tokens
        if not pending.is_interactive:
            reserve_ratio = self._settings.interactive_reserve_ratio
            if self._running >= max_running * (1 - reserve_ratio):
                return False
            limit_tokens *= 1 - reserve_ratio
        elif self._violates_draft_floor(pending):
            return False
        forecast = self._current_forecast()
        peak_tokens = forecast.peak_tokens(
            self._overflow_z_score, pending.sequence
        )
        return peak_tokens <= limit_tokens

    def _violates_draft_floor(
        self, pending: pending_request.PendingRequest
    ) -> bool:
        if not self._queue.count(is_interactive=False):
            return False
        interactive_tokens = pending.sequence.prompt_tokens + sum(
            sequence.prompt_tokens + sequence.generated_tokens
            for sequence in self._interactive_sequences
        )
        floor_ratio = self._settings.draft_floor_ratio
        return interactive_tokens > self._engine_view.usable_tokens * (
            1 - floor_ratio
        )

    def _check_queue_limits(
        self, pending: pending_request.PendingRequest
    ) -> None:
        if len(self._queue) >= self._settings.max_queued_requests:
            raise self._create_refusal(reason.RefusalReason.QUEUE_FULL)
        wait_s = self._expected_wait_s(pending)
        if wait_s > pending.request.max_queue_wait_s:
            raise self._create_refusal(reason.RefusalReason.BUSY)
        if wait_s > pending.request.expires_in_s:
            raise self._create_refusal(reason.RefusalReason.EXPIRED)

    async def _wait_in_queue(
        self, pending: pending_request.PendingRequest
    ) -> None:
        self._queue.add(pending)
        try:
            async with asyncio.timeout(pending.request.expires_in_s):
                await pending.admitted
        except TimeoutError as error:
            self._cancel_pending(pending)
            raise self._create_refusal(reason.RefusalReason.EXPIRED) from error
        except asyncio.CancelledError:
            self._cancel_pending(pending)
            raise

    def _cancel_pending(self, pending: pending_request.PendingRequest) -> None:
        if pending.admitted.done() and not pending.admitted.cancelled():
            self._end_sequence(pending.sequence)
        else:
            self._queue.remove(pending)
        self._admit_pending()

    def _admit_pending(self) -> None:
        while (next_pending := self._next_admissible()) is not None:
            self._queue.remove(next_pending)
            self._start_sequence(next_pending)
            next_pending.admitted.set_result(None)

    def _next_admissible(self) -> pending_request.PendingRequest | None:
        for head in self._queue.heads():
            if self._fits(head):
                return head
        return None

    def _start_sequence(self, pending: pending_request.PendingRequest) -> None:
        self._queue.record_admission(pending, _now_s())
        self._forecast.add(pending.sequence)
        if pending.is_interactive:
            self._interactive_sequences.add(pending.sequence)
        self._increment_running()

    def _end_sequence(self, sequence: memory_forecast.ForecastSequence) -> None:
        self._forecast.remove(sequence)
        self._interactive_sequences.discard(sequence)
        self._decrement_running()

    def _current_forecast(self) -> memory_forecast.MemoryForecast:
        now_s = _now_s()
        if now_s - self._forecast_time_s > _MAX_FORECAST_AGE_S:
            self._forecast.refresh()
            self._forecast_time_s = now_s
        return self._forecast

    def _expected_wait_s(
        self, pending: pending_request.PendingRequest
    ) -> float:
        steps = self._current_forecast().steps_until_fits(
            self._engine_view.usable_tokens, pending.sequence.prompt_tokens
        )
        steps = max(steps, _MIN_WAIT_STEPS)
        return self._queue.total_cost_s + steps * self._engine_view.step_time_s

    def _queue_wait_s(self) -> float:
        head = next(self._queue.heads(), None)
        return self._expected_wait_s(head) if head else 0.0

    def _create_refusal(
        self, refusal_reason: reason.RefusalReason
    ) -> errors.AdmissionRefusedError:
        retry_after_s = min(
            max(self._queue_wait_s(), _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S
        )
        return errors.AdmissionRefusedError(refusal_reason, retry_after_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
