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
_CRASH_STATUS = 70
_KEPT_FINISHED = 1000


class StandinModes(msgspec.Struct):
    """Modes that the engine stand-in can be told to be in.

    Attributes:
        silent: Streams stay open and carry nothing.
        slow_factor: Multiplies the time of each step.
        leaving: Announces that the VM is about to be reclaimed.
        hold_at_tokens: Streams carry no token from this index on and do not
            end until this is unset.
    """

    silent: bool = False
    slow_factor: float = 1.0
    leaving: bool = False
    hold_at_tokens: int | None = None


class EngineStandin:
    """State of the stand-in and its routes."""

    def __init__(
        self,
        shape: model.EngineShape,
        order_book: orders.OrderBook,
        load_lag_s: float = 0.5,
        cache_event_gap_every: int = 0,
    ) -> None:
        self.engine = model.EngineModel(shape)
        self.orders = order_book
        self.modes = StandinModes()
        self.started_ids: list[str] = []
        self.cancelled_ids: list[str] = []
        self.shown_tokens: dict[str, int] = {}
        self._load_lag_s = load_lag_s
        self._gap_every = cache_event_gap_every
        self._sequences: collections.OrderedDict[str, sequence.Sequence] = (
            collections.OrderedDict()
        )
        self._stepped = asyncio.Condition()
        self._work = asyncio.Event()
        self._load = self._current_load()
        self._load_at_s = time.monotonic()
        self._task: asyncio.Task | None = None

    def app(self) -> litestar.Litestar:
        """Creates the application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/v1/generations", status_code=200)(self._start),
                litestar.get("/v1/generations/{generation_id:str}/stream")(
                    self._resume
                ),
                litestar.delete(
                    "/v1/generations/{generation_id:str}", status_code=200
                )(self._cancel),
                litestar.get("/v1/load")(self._get_load),
                litestar.get("/v1/cache-events")(self._cache_events),
                litestar.get("/v1/state")(self._state),
                litestar.post("/v1/orders", status_code=200)(self._order),
                litestar.post("/standin/modes", status_code=200)(
                    self._set_modes
                ),
                litestar.get("/standin/started")(self._started),
                litestar.get("/standin/cancelled")(self._get_cancelled),
                litestar.get("/standin/shown")(self._get_shown),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _start(self, request: litestar.Request) -> litestar.Response:
        wanted = msgspec.json.decode(
            await request.body(), type=messages.GenerationRequest
        )
        created = sequence.Sequence(
            wanted.generation_id,
            wanted.prompt,
            wanted.max_tokens,
            wanted.priority,
        )
        if created.crashes:
            os._exit(_CRASH_STATUS)
        if not self.engine.fits(created):
            return _status(413)
        self._sequences[wanted.generation_id] = created
        self.started_ids.append(wanted.generation_id)
        self._forget_finished()
        self.engine.add(created)
        self._ensure_running()
        self._work.set()
        return _stream(self._events(created, 0))

    async def _resume(
        self, generation_id: str, next_index: int
    ) -> litestar.Response:
        found = self._sequences.get(generation_id)
        if found is None:
            return _status(404)
        return _stream(self._events(found, next_index))

    async def _cancel(self, generation_id: str) -> litestar.Response:
        found = self._sequences.pop(generation_id, None)
        self.cancelled_ids.append(generation_id)
        if found is not None:
            self.engine.remove(found)
            found.state = sequence.SequenceState.FINISHED
        return _status(200)

    async def _get_load(self) -> litestar.Response:
        if time.monotonic() - self._load_at_s >= self._load_lag_s:
            shown, self._load = self._load, self._current_load()
            self._load_at_s = time.monotonic()
            return _json(shown)
        return _json(self._load)

    async def _cache_events(self, after: int) -> litestar.Response:
        shown = [
            event
            for event in self.engine.cache.events
            if event.sequence > after and not self._is_gap(event)
        ]
        return _json(shown)

    async def _state(self) -> litestar.Response:
        return _json(self.orders.state)

    async def _order(self, request: litestar.Request) -> litestar.Response:
        wanted = msgspec.json.decode(
            await request.body(), type=messages.EngineOrder
        )
        try:
            return _json(self.orders.apply(wanted))
        except orders.RefusedError:
            return _status(409)

    async def _set_modes(self, request: litestar.Request) -> litestar.Response:
        self.modes = msgspec.json.decode(
            await request.body(), type=StandinModes
        )
        async with self._stepped:
            self._stepped.notify_all()
        return _status(200)

    async def _started(self) -> litestar.Response:
        return _json(self.started_ids)

    async def _get_cancelled(self) -> litestar.Response:
        return _json(self.cancelled_ids)

    async def _get_shown(self) -> litestar.Response:
        return _json(self.shown_tokens)

    def _ensure_running(self) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            if self.engine.idle:
                self._work.clear()
                await self._work.wait()
            step_s = self.engine.step_time_s() * self.modes.slow_factor
            await asyncio.sleep(step_s)
            self.engine.step()
            async with self._stepped:
                self._stepped.notify_all()

    async def _events(
        self, source: sequence.Sequence, next_index: int
    ) -> AsyncIterator[bytes]:
        while True:
            await self._wait_for(source, next_index)
            texts = source.texts[next_index : self.modes.hold_at_tokens]
            if texts:
                yield _event(
                    messages.StreamEvent(
                        messages.StreamEventKind.TOKENS, next_index, texts
                    )
                )
                next_index += len(texts)
                self.shown_tokens[source.generation_id] = next_index
            if self._is_whole(source, next_index):
                break
        yield _event(
            messages.StreamEvent(
                messages.StreamEventKind.FINISHED,
                finish_reason=source.finish_reason,
                prompt_token_count=len(source.prompt_words),
                preemption_count=source.preemption_count,
            )
        )

    async def _wait_for(
        self, source: sequence.Sequence, next_index: int
    ) -> None:
        def has_news() -> bool:
            shown = source.texts[next_index : self.modes.hold_at_tokens]
            return bool(shown) or self._is_whole(source, next_index)

        async with self._stepped:
            await self._stepped.wait_for(
                lambda: not self.modes.silent and has_news()
            )

    def _is_whole(self, source: sequence.Sequence, next_index: int) -> bool:
        finished = source.state is sequence.SequenceState.FINISHED
        return (
            finished
            and next_index >= len(source.texts)
            and self.modes.hold_at_tokens is None
        )

    def _current_load(self) -> messages.EngineLoad:
        shape = self.engine.shape
        return messages.EngineLoad(
            len(self.engine.running),
            len(self.engine.waiting),
            self.engine.blocks_used,
            shape.blocks_total,
            shape.block_tokens,
            self.engine.step_time_s(),
            self.engine.preemptions_total,
            self.modes.leaving,
        )

    def _forget_finished(self) -> None:
        while len(self._sequences) > _KEPT_FINISHED:
            self._sequences.popitem(last=False)

    def _is_gap(self, event: messages.CacheEvent) -> bool:
        return self._gap_every > 0 and event.sequence % self._gap_every == 0


def _event(event: messages.StreamEvent) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _stream(events: AsyncIterator[bytes]) -> response.Stream:
    return response.Stream(events, media_type=_EVENT_STREAM)


def _json(value: object) -> litestar.Response:
    return litestar.Response(
        msgspec.json.encode(value), media_type=_JSON, status_code=200
    )


def _status(status: int) -> litestar.Response:
    return litestar.Response(b"", status_code=status, media_type=_JSON)
