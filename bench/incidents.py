"""Incidents injected into the simulated engines during a trial."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from bench import simulated_sidecar
from bronzeslip.engine import messages

_START_S = 15.0
_DURATION_S = 20.0
_SLOW_FACTOR = 3.0
_REMAINING_MEMORY_RATIO = 0.5

Incident = Callable[
    [Sequence[simulated_sidecar.SimulatedSidecar]], Awaitable[None]
]


async def none(sidecars: Sequence[simulated_sidecar.SimulatedSidecar]) -> None:
    """Injects nothing."""


async def slow_engine(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Slows down the steps of one engine for a while."""
    await asyncio.sleep(_START_S)
    sidecars[0].engine.slow_factor = _SLOW_FACTOR
    await asyncio.sleep(_DURATION_S)
    sidecars[0].engine.slow_factor = 1.0


async def crash(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Crashes one engine, which loses its generations."""
    await asyncio.sleep(_START_S)
    sidecars[0].engine.crash()


async def reduced_memory(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Halves the memory of one engine for a while."""
    await asyncio.sleep(_START_S)
    engine = sidecars[0].engine
    original = engine.model.parameters
    engine.model.parameters = dataclasses.replace(
        original,
        blocks_total=int(original.blocks_total * _REMAINING_MEMORY_RATIO),
    )
    await asyncio.sleep(_DURATION_S)
    engine.model.parameters = original


async def no_reports(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Stops the load reports of every engine for a while."""
    await asyncio.sleep(_START_S)
    for sidecar in sidecars:
        sidecar.report = None
    await asyncio.sleep(_DURATION_S)
    for sidecar in sidecars:
        sidecar.report = sidecar.engine.load


async def wrong_reports(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Makes one engine report an empty load for a while."""
    await asyncio.sleep(_START_S)
    sidecars[0].report = lambda: messages.EngineLoad(0, 0, 0, 0, 0, 0.0, 0)
    await asyncio.sleep(_DURATION_S)
    sidecars[0].report = sidecars[0].engine.load


async def no_heartbeats(
    sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
) -> None:
    """Stops the heartbeats of one sidecar for a while."""
    await asyncio.sleep(_START_S)
    sidecars[0].sends_heartbeats = False
    await asyncio.sleep(_DURATION_S)
    sidecars[0].sends_heartbeats = True


ALL: dict[str, Incident] = {
    "none": none,
    "slow-engine": slow_engine,
    "crash": crash,
    "memory-taken": reduced_memory,
    "no-reports": no_reports,
    "wrong-reports": wrong_reports,
    "no-heartbeats": no_heartbeats,
}
