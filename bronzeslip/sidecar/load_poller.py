"""Reads the engine's load reports and cache events."""

import asyncio

from bronzeslip import logs
from bronzeslip.admission import memory_gate
from bronzeslip.engine import client
from bronzeslip.engine import errors
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import cache_index

logger = logs.get_logger(__name__)


class LoadPoller:
    """Passes load reports to admission and cache events to the index."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        engine: client.EngineClient,
        admission: memory_gate.MemoryGate,
        cache: cache_index.CacheIndex,
    ) -> None:
        self._cache = cache
        self._settings = settings
        self._engine = engine
        self._admission = admission

    async def run(self) -> None:
        """Polls from the first generation on until cancelled.

        A plain endpoint never receives a generation and is never polled.
        """
        await self._admission.first_request_seen.wait()
        while True:
            await self.poll_once()
            await asyncio.sleep(self._settings.load_poll_interval_s)

    async def poll_once(self) -> None:
        """Reads one report; on failure the previous one stays in use."""
        try:
            report = await self._engine.load()
            events = await self._engine.cache_events(self._cache.last_sequence)
        except errors.EngineError as error:
            logger.debug("load.unreadable", reason=error.message)
            return
        self._admission.apply_report(report)
        self._cache.apply_events(events, self._admission.block_bytes)
