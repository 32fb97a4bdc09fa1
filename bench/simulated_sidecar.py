"""A sidecar's admission before a simulated engine."""

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
    """Admission as the experiment drives it."""

    load: link.EndpointLoad

    async def admit(self, wanted: request.AdmissionRequest) -> ticket.Ticket:
        """Waits for a place on the engine."""

    def record_progress(
        self, held: ticket.Ticket, generated_tokens: int
    ) -> None:
        """Notes how far a generation has come."""

    def release(self, held: ticket.Ticket, is_complete: bool) -> None:
        """Gives a place back."""


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
        self.is_heard = True
        gate.get_cached_prefixes = cache.digest
        self.member = self_member
        self.engine = engine
        self.gate = gate

    async def run(
        self, wanted: request.AdmissionRequest, result: outcome.Outcome
    ) -> Terminal:
        """Runs a generation or refuses it."""
        try:
            held = await self.gate.admit(wanted)
        except errors.AdmissionRefusedError as error:
            return frames.GenerationRefused(
                wanted.generation_id, error.refusal, error.retry_after_s
            )
        whole = False
        self.cache.add_prompt(result.arrival.prompt)
        current = sequence.Sequence(
            wanted.generation_id,
            result.arrival.prompt,
            wanted.max_tokens,
            held.priority,
        )
        try:
            whole = await self.engine.generate(
                current,
                result,
                lambda count: self.gate.record_progress(held, count),
            )
        finally:
            held.prompt_tokens = len(current.prompt_words)
            self.gate.release(held, whole)
        result.prompt_tokens += len(current.prompt_words)
        result.cached_tokens += current.cached_prompt_tokens
        if not whole:
            return frames.GenerationLost(
                wanted.generation_id, reason.LossReason.ENDPOINT_DOWN
            )
        return frames.GenerationFinished(
            wanted.generation_id,
            len(current.texts),
            reason.FinishReason.STOP,
            len(current.prompt_words),
        )
