"""Queue of frames to send on one connection."""

import asyncio
from collections.abc import Callable

from bronzeslip.transport import codec

MAX_BATCH_FRAMES = 512


class Outbox:
    """Collects frames and returns them in batches.

    Control frames are queued one by one. Sources that buffer their own data,
    such as generations, register a callback that is called when the
    connection can send frames. Until then the data stays in the buffer of
    the source.
    """

    def __init__(self) -> None:
        self._frames: list[codec.Frame] = []
        self._ready_sources: dict[str, Callable[[], list[codec.Frame]]] = {}
        self._frames_available = asyncio.Event()

    @property
    def empty(self) -> bool:
        """Whether no frames are waiting to be sent."""
        return not self._frames and not self._ready_sources

    def put(self, frame: codec.Frame) -> None:
        """Queues a control frame."""
        self._frames.append(frame)
        self._frames_available.set()

    def mark_ready(
        self, key: str, collect_frames: Callable[[], list[codec.Frame]]
    ) -> None:
        """Registers a source that has frames to send."""
        self._ready_sources[key] = collect_frames
        self._frames_available.set()

    async def take(self) -> list[codec.Frame]:
        """Waits for frames and returns the next batch."""
        while True:
            batch = self._collect()
            if batch:
                return batch
            self._frames_available.clear()
            await self._frames_available.wait()

    def _collect(self) -> list[codec.Frame]:
        batch, self._frames = self._frames, []
        while self._ready_sources and len(batch) < MAX_BATCH_FRAMES:
            key = next(iter(self._ready_sources))
            batch.extend(self._ready_sources.pop(key)())
        return batch
