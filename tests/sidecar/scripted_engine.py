"""Fake engine with streams that are defined by the test."""

import asyncio

from bronzeslip.engine import messages


def tokens(first_index, *texts):
    """Creates an event with tokens."""
    return messages.StreamEvent(
        messages.StreamEventKind.TOKENS, first_index, list(texts)
    )


FINISHED = messages.StreamEvent(
    messages.StreamEventKind.FINISHED,
    finish_reason="stop",
    prompt_token_count=1,
)
HANG = object()


class ScriptedEngine:
    """Yields the events, raises the errors and hangs as listed per stream.

    Attributes:
        resumed_at: Indexes from which streams were resumed.
        cancelled: Generations that were cancelled.
        started: Number of generations started.
        cancel_allowed: Blocks cancellations while it is not set.
    """

    def __init__(self, *streams, probe=None):
        self.resumed_at = []
        self.cancelled = []
        self.cancel_allowed = asyncio.Event()
        self.cancel_allowed.set()
        self.started = 0
        self._streams = list(streams)
        self._probe = probe

    async def generate(self, request):
        self.started += 1
        async for event in self._stream():
            yield event

    async def resume(self, generation_id, next_index):
        self.resumed_at.append(next_index)
        async for event in self._stream():
            yield event

    async def probe(self):
        if isinstance(self._probe, Exception):
            raise self._probe
        return messages.EngineLoad(
            0, 0, 0, 1, 1, 0.01, 0, leaving=self._probe == "leaving"
        )

    async def cancel(self, generation_id):
        await self.cancel_allowed.wait()
        self.cancelled.append(generation_id)

    async def _stream(self):
        for event in self._streams.pop(0):
            if event is HANG:
                await asyncio.get_running_loop().create_future()
            if isinstance(event, Exception):
                raise event
            yield event
