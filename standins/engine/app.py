"""HTTP application of the engine stand-in."""

import asyncio
import collections
from collections.abc import AsyncIterator
import os
import time

import litestar
from litestar import response
import msgspec

from bronzeslip.engine import messages
from standins.engine import model
from standins.engine import orders
from standins.engine import sequence

_EVENT_STREAM = "text/event-stream"
_JSON = "application/json"
_CRASH_EXIT_STATUS = 70
_MAX_SEQUENCES = 1000


class StandinModes(msgspec.Struct):
    """Faults and conditions that tests switch on at run time.

    Attributes:
        silent: Streams stay open but send nothing.
        slow_factor: Factor applied to the duration of each step.
        leaving: The reported load announces that the VM is about to be
            reclaimed.
        hold_at_tokens: Index of the first token that streams withhold.
            Streams do not end until this is unset.
    """

    silent: bool = False
    slow_factor: float = 1.0
    leaving: bool = False
    hold_at_tokens: int | None = None


class EngineStandin:
    """Engine model, its step loop and the HTTP routes."""

    def __init__(
        self,
        parameters: model.EngineParameters,
        order_processor: orders.OrderProcessor,
        load_lag_s: float = 0.5,
        cache_event_gap_every: int = 0,
    ) -> None:
        self.engine = model.EngineModel(parameters)
        self.orders = order_processor
        self.modes = StandinModes()
        self.started_ids: list[str] = []
        self.cancelled_ids: list[str] = []
        self.sent_token_counts: dict[str, int] = {}
        self._load_lag_s = load_lag_s
        self._cache_event_gap_every = cache_event_gap_every
        self._sequences: collections.OrderedDict[str, sequence.Sequence] = (
            collections.OrderedDict()
        )
        self._state_changed = asyncio.Condition()
        self._work_available = asyncio.Event()
        self._cached_load = self._current_load()
        self._load_sampled_at_s = time.monotonic()
        self._step_task: asyncio.Task | None = None

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/v1/generations", status_code=200)(
                    self._start_generation
                ),
                litestar.get("/v1/generations/{generation_id:str}/stream")(
                    self._resume_generation
                ),
                litestar.delete(
                    "/v1/generations/{generation_id:str}", status_code=200
                )(self._cancel_generation),
                litestar.get("/v1/load")(self._get_load),
                litestar.get("/v1/cache-events")(self._get_cache_events),
                litestar.get("/v1/state")(self._get_state),
                litestar.post("/v1/orders", status_code=200)(self._apply_order),
                litestar.post("/standin/modes", status_code=200)(
                    self._set_modes
                ),
                litestar.get("/standin/started")(self._get_started),
                litestar.get("/standin/cancelled")(self._get_cancelled),
                litestar.get("/standin/shown")(self._get_sent_token_counts),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _start_generation(
        self, request: litestar.Request
    ) -> litestar.Response:
        generation_request = msgspec.json.decode(
            await request.body(), type=messages.GenerationRequest
        )
        new_sequence = sequence.Sequence(
            generation_request.generation_id,
            generation_request.prompt,
            generation_request.max_tokens,
            generation_request.priority,
        )
        if new_sequence.requests_crash:
            os._exit(_CRASH_EXIT_STATUS)
        if not self.engine.fits(new_sequence):
            return _empty_response(413)
        self._sequences[generation_request.generation_id] = new_sequence
        self.started_ids.append(generation_request.generation_id)
        self._evict_oldest_sequences()
        self.engine.add(new_sequence)
        self._ensure_step_task()
        self._work_available.set()
        return _stream_response(self._stream_events(new_sequence, 0))

    async def _resume_generation(
        self, generation_id: str, next_index: int
    ) -> litestar.Response:
        known_sequence = self._sequences.get(generation_id)
        if known_sequence is None:
            return _empty_response(404)
        return _stream_response(self._stream_events(known_sequence, next_index))

    async def _cancel_generation(self, generation_id: str) -> litestar.Response:
        cancelled_sequence = self._sequences.pop(generation_id, None)
        self.cancelled_ids.append(generation_id)
        if cancelled_sequence is not None:
            self.engine.remove(cancelled_sequence)
            cancelled_sequence.state = sequence.SequenceState.FINISHED
        return _empty_response(200)

    async def _get_load(self) -> litestar.Response:
        if time.monotonic() - self._load_sampled_at_s >= self._load_lag_s:
            reported_load, self._cached_load = (
                self._cached_load,
                self._current_load(),
            )
            self._load_sampled_at_s = time.monotonic()
            return _json_response(reported_load)
        return _json_response(self._cached_load)

    async def _get_cache_events(self, after: int) -> litestar.Response:
        reported_events = [
            event
            for event in self.engine.cache.events
            if event.sequence > after and not self._is_gap(event)
        ]
        return _json_response(reported_events)

    async def _get_state(self) -> litestar.Response:
        return _json_response(self.orders.state)

    async def _apply_order(
        self, request: litestar.Request
    ) -> litestar.Response:
        order = msgspec.json.decode(
            await request.body(), type=messages.EngineOrder
        )
        try:
            return _json_response(self.orders.apply(order))
        except orders.StaleOrderError:
            return _empty_response(409)

    async def _set_modes(self, request: litestar.Request) -> litestar.Response:
        self.modes = msgspec.json.decode(
            await request.body(), type=StandinModes
        )
        async with self._state_changed:
            self._state_changed.notify_all()
        return _empty_response(200)

    async def _get_started(self) -> litestar.Response:
        return _json_response(self.started_ids)

    async def _get_cancelled(self) -> litestar.Response:
        return _json_response(self.cancelled_ids)

    async def _get_sent_token_counts(self) -> litestar.Response:
        return _json_response(self.sent_token_counts)

    def _ensure_step_task(self) -> None:
        if self._step_task is None:
            self._step_task = asyncio.create_task(self._run_steps())

    async def _run_steps(self) -> None:
        while True:
            if self.engine.is_idle:
                self._work_available.clear()
                await self._work_available.wait()
            step_s = self.engine.step_time_s() * self.modes.slow_factor
            await asyncio.sleep(step_s)
            self.engine.step()
            async with self._state_changed:
                self._state_changed.notify_all()

    async def _stream_events(
        self, source: sequence.Sequence, next_index: int
    ) -> AsyncIterator[bytes]:
        while True:
            await self._wait_for_output(source, next_index)
            texts = source.texts[next_index : self.modes.hold_at_tokens]
            if texts:
                yield _encode_event(
                    messages.StreamEvent(
                        messages.StreamEventKind.TOKENS, next_index, texts
                    )
                )
                next_index += len(texts)
                self.sent_token_counts[source.generation_id] = next_index
            if self._is_stream_complete(source, next_index):
                break
        yield _encode_event(
            messages.StreamEvent(
                messages.StreamEventKind.FINISHED,
                finish_reason=source.finish_reason,
                prompt_token_count=len(source.prompt_words),
                preemption_count=source.preemption_count,
            )
        )

    async def _wait_for_output(
        self, source: sequence.Sequence, next_index: int
    ) -> None:
        def has_output() -> bool:
            pending_texts = source.texts[next_index : self.modes.hold_at_tokens]
            return bool(pending_texts) or self._is_stream_complete(
                source, next_index
            )

        async with self._state_changed:
            await self._state_changed.wait_for(
                lambda: not self.modes.silent and has_output()
            )

    def _is_stream_complete(
        self, source: sequence.Sequence, next_index: int
    ) -> bool:
        finished = source.state is sequence.SequenceState.FINISHED
        return (
            finished
            and next_index >= len(source.texts)
            and self.modes.hold_at_tokens is None
        )

    def _current_load(self) -> messages.EngineLoad:
        parameters = self.engine.parameters
        return messages.EngineLoad(
            len(self.engine.running),
            len(self.engine.waiting),
            self.engine.blocks_used,
            parameters.blocks_total,
            parameters.block_tokens,
            self.engine.step_time_s(),
            self.engine.preemptions_total,
            self.modes.leaving,
        )

    def _evict_oldest_sequences(self) -> None:
        while len(self._sequences) > _MAX_SEQUENCES:
            self._sequences.popitem(last=False)

    def _is_gap(self, event: messages.CacheEvent) -> bool:
        return (
            self._cache_event_gap_every > 0
            and event.sequence % self._cache_event_gap_every == 0
        )


def _encode_event(event: messages.StreamEvent) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _stream_response(events: AsyncIterator[bytes]) -> response.Stream:
    return response.Stream(events, media_type=_EVENT_STREAM)


def _json_response(value: object) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), media_type=_JSON, status_code=200
    )


def _empty_response(status: int) -> litestar.Response:
    return litestar.Response(b"", status_code=status, media_type=_JSON)
