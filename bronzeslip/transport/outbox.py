"""Frames waiting to be sent on one connection."""

import asyncio
from collections.abc import Callable

from bronzeslip.transport import codec

MAX_BATCH_FRAMES = 512


class Outbox:
    """Collects frames and hands them out in batches.

    Control frames are put one by one. Sources with data of their own, such
    as generation buffers, register a callback that is asked for frames when
    the connection can take them; their data stays in their own buffer until
    then.
    """

    def __init__(self) -> None:
        self._frames: list[codec.Frame] = []
        self._ready_sources: dict[str, Callable[[], list[codec.Frame]]] = {}
        self._wake = asyncio.Event()

    @property
    def empty(self) -> bool:
        """Whether nothing waits to be sent."""
        return not self._frames and not self._ready_sources

    def put(self, frame: codec.Frame) -> None:
        """Queues a control frame."""
        self._frames.append(frame)
        self._wake.set()

    def mark_ready(
        self, key: str, take: Callable[[], list[codec.Frame]]
    ) -> None:
        """Registers a source that has frames to send."""
        self._ready_sources[key] = take
        self._wake.set()

    async def take(self) -> list[codec.Frame]:
        """Waits for frames and takes all that may travel together."""
        while True:
            batch = self._collect()
            if batch:
                return batch
            self._wake.clear()
            await self._wake.wait()

    def _collect(self) -> list[codec.Frame]:
        batch, self._frames = self._frames, []
        while self._ready_sources and len(batch) < MAX_BATCH_FRAMES:
            key = next(iter(self._ready_sources))
            batch.extend(self._ready_sources.pop(key)())
        return batch
