"""Generations that a sidecar runs on its engine."""

import asyncio

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import gate
from bronzeslip.engine import client
from bronzeslip.engine import errors as engine_errors
from bronzeslip.engine import messages
from bronzeslip.generation import run
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0


class GenerationTable:
    """Runs generations and keeps them for their readers."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        engine: client.EngineClient,
        admission: gate.AdmissionGate,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._admission = admission
        self._runs: dict[ids.GenerationId, run.GenerationRun] = {}
        self._tasks: dict[ids.GenerationId, asyncio.Task] = {}

    def start(self, start: frames.StartGeneration) -> run.GenerationRun:
        """Runs a generation, or returns the run that has its id."""
        known = self._runs.get(start.generation_id)
        if known is not None:
            return known
        created = run.GenerationRun(start)
        self._runs[start.generation_id] = created
        self._tasks[start.generation_id] = asyncio.create_task(
            self._run(created)
        )
        return created

    def find(
        self, generation_id: ids.GenerationId, workspace_id: ids.WorkspaceId
    ) -> run.GenerationRun | None:
        """Finds a generation of a workspace."""
        found = self._runs.get(generation_id)
        if found is None or found.start.workspace_id != workspace_id:
            return None
        return found

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Ends a generation and forgets it."""
        task = self._tasks.get(generation_id)
        if task is not None:
            task.cancel()

    async def _run(self, current: run.GenerationRun) -> None:
        try:
            await self._admission.enter(current.start.expires_in_s)
        except admission_errors.AdmissionRefusedError as error:
            current.end(_refused(current, error.refusal, error.retry_after_s))
        except asyncio.CancelledError:
            current.end(_refused(current, reason.RefusalReason.CANCELLED, 0))
        else:
            try:
                await self._generate(current)
            finally:
                self._admission.leave()
        await self._forget_later(current)

    async def _generate(self, current: run.GenerationRun) -> None:
        try:
            async for event in self._engine.generate(_request(current)):
                self._take(current, event)
        except engine_errors.EngineRefusedError:
            current.end(
                _refused(
                    current, reason.RefusalReason.ENDPOINT_DOWN, _RETRY_AFTER_S
                )
            )
        except engine_errors.EngineError as error:
            logger.warning(
                "generation.engine_failed",
                generation_id=current.start.generation_id,
                reason=error.message,
            )
        except asyncio.CancelledError:
            await self._cancel_at_engine(current)
        current.end(
            frames.GenerationLost(
                current.start.generation_id, reason.LossReason.ENDPOINT_DOWN
            )
        )

    def _take(
        self, current: run.GenerationRun, event: messages.StreamEvent
    ) -> None:
        if current.state is run.RunState.QUEUED:
            current.mark_running()
        if event.kind is messages.StreamEventKind.TOKENS:
            current.append(event.first_index, event.texts)
            return
        current.end(
            frames.GenerationFinished(
                current.start.generation_id,
                current.buffer.next_index,
                reason.FinishReason(event.finish_reason),
                event.prompt_token_count,
            )
        )

    async def _cancel_at_engine(self, current: run.GenerationRun) -> None:
        try:
            await self._engine.cancel(current.start.generation_id)
        except engine_errors.EngineError as error:
            logger.warning(
                "generation.cancel_failed",
                generation_id=current.start.generation_id,
                reason=error.message,
            )

    async def _forget_later(self, current: run.GenerationRun) -> None:
        await asyncio.sleep(self._settings.generation_grace_s)
        self._runs.pop(current.start.generation_id, None)
        self._tasks.pop(current.start.generation_id, None)


def _request(current: run.GenerationRun) -> messages.GenerationRequest:
    start = current.start
    return messages.GenerationRequest(
        start.generation_id,
        start.model,
        start.prompt,
        start.max_tokens,
        start.priority,
    )


def _refused(
    current: run.GenerationRun,
    refusal: reason.RefusalReason,
    retry_after_s: float,
) -> frames.GenerationRefused:
    return frames.GenerationRefused(
        current.start.generation_id, refusal, retry_after_s
    )
