"""Generations that a sidecar runs on its engine."""

import asyncio
from collections.abc import Coroutine
import math
import time
from typing import Any

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import memory_gate
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.engine import client
from bronzeslip.engine import errors as engine_errors
from bronzeslip.generation import errors
from bronzeslip.generation import run
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import cache_index
from bronzeslip.sidecar import crash_tracker
from bronzeslip.sidecar import engine_reader
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_SWEEP_INTERVAL_S = 0.5


class GenerationTable:
    """Runs generations and buffers them for their readers."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        engine: client.EngineClient,
        admission: memory_gate.MemoryGate,
        metrics: sidecar_metrics.SidecarMetrics | None = None,
        cache: cache_index.CacheIndex | None = None,
    ) -> None:
        self._cache = cache or cache_index.CacheIndex(settings)
        self._settings = settings
        self._engine = engine
        self._admission = admission
        self._crashes = crash_tracker.CrashTracker()
        self._suspect_lock = asyncio.Lock()
        self._metrics = metrics or sidecar_metrics.SidecarMetrics()
        self._runs: dict[ids.GenerationId, run.GenerationRun] = {}
        self._tasks: dict[ids.GenerationId, asyncio.Task] = {}
        self._cancelled_at_s: dict[ids.GenerationId, float] = {}

    def start(self, start: frames.StartGeneration) -> run.GenerationRun:
        """Starts a generation, or returns the run with the same id.

        Raises:
            errors.GenerationRefusedError: If it was cancelled already.
        """
        existing = self._runs.get(start.generation_id)
        if existing is not None:
            return existing
        if start.generation_id in self._cancelled_at_s:
            raise errors.GenerationRefusedError(
                reason.RefusalReason.CANCELLED, 0.0
            )
        created = run.GenerationRun(start)
        self._runs[start.generation_id] = created
        self._start_task(start.generation_id, self._run(created))
        return created

    def find(
        self, generation_id: ids.GenerationId, workspace_id: ids.WorkspaceId
    ) -> run.GenerationRun | None:
        """Returns a generation of a workspace, None if there is none."""
        found = self._runs.get(generation_id)
        if found is None or found.start.workspace_id != workspace_id:
            return None
        return found

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Ends a generation that has no readers.

        A generation that was not started yet is refused when its start
        arrives. A gateway repeats the frame for each batch in flight, so a
        second frame does not interrupt the cancellation at the engine.
        """
        existing = self._runs.get(generation_id)
        if existing is None:
            self._cancelled_at_s[generation_id] = time.monotonic()
            self.cancel_untracked(generation_id)
        elif existing.terminal is None and not existing.has_readers:
            self._end_run(existing, reason.LossReason.CANCELLED)

    def cancel_untracked(self, generation_id: ids.GenerationId) -> None:
        """Cancels a generation at the engine that has no run here.

        An earlier incarnation of the sidecar may have started it.
        """
        if generation_id in self._runs or generation_id in self._tasks:
            return
        self._start_task(generation_id, self._cancel_at_engine(generation_id))

    def end_all(self, loss: reason.LossReason) -> None:
        """Ends every generation that has no outcome yet."""
        for current in tuple(self._runs.values()):
            if current.terminal is None:
                self._end_run(current, loss)

    async def wait_without_readers(self) -> None:
        """Waits until all readers have taken their generations' outcomes."""
        for current in tuple(self._runs.values()):
            await current.no_readers.wait()

    async def wait_ended(self) -> None:
        """Waits until no generation runs."""
        while self._tasks:
            await asyncio.wait(self._tasks.values())

    async def sweep(self) -> None:
        """Ends orphaned runs and removes expired ones until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.sweep_once(time.monotonic())

    def sweep_once(self, now_s: float) -> None:
        """Ends orphaned runs and removes expired ones.

        A run is orphaned if it has had no readers for the orphan timeout.

        Args:
            now_s: Current time on the monotonic clock, in seconds.
        """
        orphan_before_s = now_s - self._settings.orphan_timeout_s
        expire_before_s = now_s - self._settings.generation_grace_s
        for current in tuple(self._runs.values()):
            current.drop_acknowledged(now_s, self._settings.orphan_timeout_s)
            if current.ended_at_s is not None:
                if current.ended_at_s < expire_before_s:
                    del self._runs[current.start.generation_id]
            elif (current.no_readers_since_s or now_s) < orphan_before_s:
                self._end_run(current, reason.LossReason.ORPHANED)
        for generation_id, at_s in tuple(self._cancelled_at_s.items()):
            if at_s < expire_before_s:
                del self._cancelled_at_s[generation_id]

    def _start_task(
        self, generation_id: ids.GenerationId, work: Coroutine[Any, Any, None]
    ) -> None:
        task = task_set.start("generation", work)
        self._tasks[generation_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(generation_id, None))

    def _end_run(
        self, current: run.GenerationRun, loss: reason.LossReason
    ) -> None:
        generation_id = current.start.generation_id
        logger.info(
            "generation.ended",
            generation_id=generation_id,
            workspace_id=current.start.workspace_id,
            reason=loss,
        )
        if current.state is run.RunState.QUEUED:
            current.end(_refused(current, reason.RefusalReason.CANCELLED, 0.0))
        else:
            current.end(frames.GenerationLost(generation_id, loss))
        task = self._tasks.get(generation_id)
        if task is not None:
            task.cancel()

    async def _run(self, current: run.GenerationRun) -> None:
        try:
            await self._run_in_turn(current)
        finally:
            # Has no effect unless an unexpected exception has left the run
            # without an outcome.
            current.end(
                frames.GenerationLost(
                    current.start.generation_id, reason.LossReason.ENDPOINT_DOWN
                )
            )

    async def _run_in_turn(self, current: run.GenerationRun) -> None:
        """Runs a generation; only one suspect one at a time."""
        if not current.start.suspect:
            await self._admit_and_generate(current)
            return
        try:
            async with asyncio.timeout(current.start.expires_in_s):
                await self._suspect_lock.acquire()
        except TimeoutError:
            current.end(_refused(current, reason.RefusalReason.EXPIRED, 0.0))
            return
        try:
            await self._admit_and_generate(current)
        finally:
            self._suspect_lock.release()

    async def _admit_and_generate(self, current: run.GenerationRun) -> None:
        service_name = current.start.service_name
        requested_at_s = time.monotonic()
        try:
            admitted = await self._admission.admit(_admission_request(current))
        except admission_errors.AdmissionRefusedError as error:
            self._metrics.count_refusal(service_name, error.refusal)
            current.end(_refused(current, error.refusal, error.retry_after_s))
            return
        self._metrics.record_admission_wait(
            service_name, time.monotonic() - requested_at_s
        )
        try:
            await self._generate(current, admitted)
        finally:
            self._release(current, admitted)

    async def _generate(
        self, current: run.GenerationRun, admitted: ticket.Ticket
    ) -> None:
        generation_id = current.start.generation_id
        self._cache.add_prompt(current.start.prompt)
        reader = engine_reader.EngineReader(
            self._settings,
            self._engine,
            current,
            self._crashes,
            self._metrics,
            lambda count: self._admission.record_progress(admitted, count),
        )
        try:
            await reader.run()
        except asyncio.CancelledError:
            await self._cancel_at_engine(generation_id)
        except Exception as error:
            logger.error(
                "generation.failed",
                generation_id=generation_id,
                reason=logs.describe(error),
            )
            await self._cancel_at_engine(generation_id)
        current.end(
            frames.GenerationLost(
                generation_id, reason.LossReason.ENDPOINT_DOWN
            )
        )

    def _release(
        self, current: run.GenerationRun, admitted: ticket.Ticket
    ) -> None:
        terminal = current.terminal
        completed = isinstance(terminal, frames.GenerationFinished)
        if completed:
            admitted.prompt_tokens = terminal.prompt_token_count
        self._admission.release(admitted, completed)

    async def _cancel_at_engine(self, generation_id: ids.GenerationId) -> None:
        try:
            await self._engine.cancel(generation_id)
        except engine_errors.EngineError as error:
            logger.warning(
                "generation.cancel_failed",
                generation_id=generation_id,
                reason=error.message,
            )


def _admission_request(current: run.GenerationRun) -> request.AdmissionRequest:
    start = current.start
    max_wait_s = start.max_queue_wait_s
    return request.AdmissionRequest(
        start.generation_id,
        start.workspace_id,
        start.service_name,
        start.workspace_class,
        start.weight,
        len(start.prompt.encode()),
        start.max_tokens,
        start.expires_in_s,
        math.inf if max_wait_s is None else max_wait_s,
    )


def _refused(
    current: run.GenerationRun,
    refusal: reason.RefusalReason,
    retry_after_s: float,
) -> frames.GenerationRefused:
    return frames.GenerationRefused(
        current.start.generation_id, refusal, retry_after_s
    )
