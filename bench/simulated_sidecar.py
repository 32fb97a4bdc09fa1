"""Sidecar with real admission in front of a simulated engine."""

from collections.abc import Callable
from typing import Protocol

from bench import outcome
from bench import simulated_engine
from bronzeslip.admission import errors
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.engine import messages
from bronzeslip.membership import member
from bronzeslip.sidecar import cache_index
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason
from standins.engine import sequence

Terminal = (
    frames.GenerationFinished | frames.GenerationRefused | frames.GenerationLost
)


class Gate(Protocol):
    """Interface of the admission gate that the experiment uses."""

    load: link.EndpointLoad

    async def admit(
        self, admission_request: request.AdmissionRequest
    ) -> ticket.Ticket:
        """Waits until a generation may run on the engine."""

    def record_progress(
        self, admission_ticket: ticket.Ticket, generated_tokens: int
    ) -> None:
        """Records the number of tokens generated so far."""

    def release(
        self, admission_ticket: ticket.Ticket, is_complete: bool
    ) -> None:
        """Releases the slot of a generation."""


class SimulatedSidecar:
    """Admits generations and runs them on its engine."""

    def __init__(
        self,
        self_member: member.Member,
        engine: simulated_engine.SimulatedEngine,
        gate: Gate,
        cache: cache_index.CacheIndex,
    ) -> None:
        self.cache = cache
        self.report: Callable[[], messages.EngineLoad] | None = engine.load
        self.sends_heartbeats = True
        gate.get_cached_prefixes = cache.digest
        self.member = self_member
        self.engine = engine
        self.gate = gate

    async def run(
        self,
        admission_request: request.AdmissionRequest,
        result: outcome.Outcome,
    ) -> Terminal:
        """Runs a generation and returns its terminal frame, or refuses it."""
        try:
            admission_ticket = await self.gate.admit(admission_request)
        except errors.AdmissionRefusedError as error:
            return frames.GenerationRefused(
                admission_request.generation_id,
                error.refusal,
                error.retry_after_s,
            )
        is_complete = False
        self.cache.add_prompt(result.arrival.prompt)
        generated = sequence.Sequence(
            admission_request.generation_id,
            result.arrival.prompt,
            admission_request.max_tokens,
            admission_ticket.priority,
        )
        try:
            is_complete = await self.engine.generate(
                generated,
                result,
                lambda count: self.gate.record_progress(
                    admission_ticket, count
                ),
            )
        finally:
            admission_ticket.prompt_tokens = len(generated.prompt_words)
            self.gate.release(admission_ticket, is_complete)
        result.prompt_tokens += len(generated.prompt_words)
        result.cached_tokens += generated.cached_prompt_tokens
        if not is_complete:
            return frames.GenerationLost(
                admission_request.generation_id, reason.LossReason.ENDPOINT_DOWN
            )
        return frames.GenerationFinished(
            admission_request.generation_id,
            len(generated.texts),
            reason.FinishReason.STOP,
            len(generated.prompt_words),
        )
