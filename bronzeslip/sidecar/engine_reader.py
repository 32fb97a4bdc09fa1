"""Reads the token stream of one generation from the engine."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import time

from bronzeslip import errors as base_errors
from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.engine import client
from bronzeslip.engine import errors
from bronzeslip.engine import messages
from bronzeslip.generation import run
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import crash_tracker
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0
_RETRY_DELAY_S = 0.1
_SILENCE_TIMEOUT_GROWTH = 2
_MAX_SILENCE_TIMEOUT_FACTOR = 8


class EngineReader:
    """Reads one generation from the engine into its run.

    A stream that breaks off or stalls is resumed at the next index on a new
    connection, as long as the engine answers a probe.
    """

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        engine: client.EngineClient,
        current: run.GenerationRun,
        crashes: crash_tracker.CrashTracker,
        metrics: sidecar_metrics.SidecarMetrics | None = None,
        on_progress: Callable[[int], None] = lambda _: None,
    ) -> None:
        """Creates a reader for a generation that was admitted.

        Args:
            settings: Timeouts.
            engine: Engine to read from.
            current: Run that receives the tokens and the outcome.
            crashes: Tracks which generations were lost in one engine crash.
            metrics: Metrics of the sidecar.
            on_progress: Called with the number of tokens after each batch.
        """
        self._on_progress = on_progress
        self._settings = settings
        self._engine = engine
        self._run = current
        self._crashes = crashes
        self._metrics = metrics or sidecar_metrics.SidecarMetrics()
        self._silence_timeout_s = settings.engine_silence_timeout_s
        self._last_answer_at_s = time.monotonic()
        self._may_have_run = False

    async def run(self) -> None:
        """Reads until the run has an outcome."""
        events = self._engine.generate(_request(self._run))
        while self._run.terminal is None:
            try:
                await self._read(events)
            except (
                errors.EngineRefusedError,
                errors.EngineUnreachableError,
                errors.GenerationUnknownError,
            ):
                self._end_as_refused_or_lost()
            except (base_errors.BronzeslipError, TimeoutError) as error:
                if self._run.terminal is None:
                    await self._probe_engine(error)
            self._may_have_run = True
            if self._run.terminal is None:
                self._metrics.count_engine_resume(self._run.start.service_name)
            events = self._engine.resume(
                self._run.start.generation_id, self._run.buffer.next_index
            )

    async def _read(self, events: AsyncIterator[messages.StreamEvent]) -> None:
        loop = asyncio.get_running_loop()
        async with contextlib.aclosing(events):
            async with asyncio.timeout(
                self._silence_timeout_s
            ) as stream_timeout:
                async for event in events:
                    self._handle_event(event)
                    stream_timeout.reschedule(
                        loop.time() + self._silence_timeout_s
                    )
        if self._run.terminal is None:
            raise errors.EngineUnavailableError(
                "the stream ended without an outcome"
            )

    def _handle_event(self, event: messages.StreamEvent) -> None:
        # Would otherwise be kept, and count as progress, without end.
        token_count = event.first_index + len(event.texts)
        if token_count > self._run.start.max_tokens:
            raise errors.EngineError(f"token {token_count} was not asked for")
        self._silence_timeout_s = self._settings.engine_silence_timeout_s
        self._last_answer_at_s = time.monotonic()
        if self._run.state is run.RunState.QUEUED:
            self._crashes.record_answer()
            self._run.mark_running()
        if event.kind is messages.StreamEventKind.TOKENS:
            self._run.append(event.first_index, event.texts)
            self._on_progress(self._run.buffer.next_index)
            return
        self._metrics.count_preemptions(
            self._run.start.service_name, event.preemption_count
        )
        self._run.end(
            frames.GenerationFinished(
                self._run.start.generation_id,
                self._run.buffer.next_index,
                reason.FinishReason(event.finish_reason),
                event.prompt_token_count,
            )
        )

    async def _probe_engine(self, error: Exception) -> None:
        silent = isinstance(error, TimeoutError)
        logger.warning(
            "generation.engine_stream_lost",
            generation_id=self._run.start.generation_id,
            next_index=self._run.buffer.next_index,
            silent=silent,
        )
        try:
            load = await self._engine.probe()
        except errors.EngineUnreachableError:
            self._end_as_lost(reason.LossReason.ENDPOINT_DOWN)
        except errors.EngineError:
            await self._wait_or_end_as_lost()
        else:
            if silent:
                self._extend_silence_timeout()
            elif load.leaving:
                self._end_as_lost(reason.LossReason.RECLAIMED)
            else:
                await self._wait_or_end_as_lost()

    def _extend_silence_timeout(self) -> None:
        self._last_answer_at_s = time.monotonic()
        self._silence_timeout_s = min(
            self._silence_timeout_s * _SILENCE_TIMEOUT_GROWTH,
            self._settings.engine_silence_timeout_s
            * _MAX_SILENCE_TIMEOUT_FACTOR,
        )

    async def _wait_or_end_as_lost(self) -> None:
        silent_s = time.monotonic() - self._last_answer_at_s
        if silent_s >= self._settings.engine_loss_timeout_s:
            self._end_as_lost(reason.LossReason.ENDPOINT_DOWN)
            return
        await asyncio.sleep(_RETRY_DELAY_S)

    def _end_as_refused_or_lost(self) -> None:
        if self._may_have_run or self._run.state is not run.RunState.QUEUED:
            self._end_as_lost(reason.LossReason.ENDPOINT_DOWN)
            return
        self._run.end(
            frames.GenerationRefused(
                self._run.start.generation_id,
                reason.RefusalReason.ENDPOINT_DOWN,
                _RETRY_AFTER_S,
            )
        )

    def _end_as_lost(self, loss: reason.LossReason) -> None:
        crash_id = ids.CrashId("")
        if loss is reason.LossReason.ENDPOINT_DOWN:
            crash_id = self._crashes.record_loss()
        self._run.end(
            frames.GenerationLost(self._run.start.generation_id, loss, crash_id)
        )


def _request(current: run.GenerationRun) -> messages.GenerationRequest:
    start = current.start
    return messages.GenerationRequest(
        start.generation_id,
        start.model,
        start.prompt,
        start.max_tokens,
        start.priority,
    )
