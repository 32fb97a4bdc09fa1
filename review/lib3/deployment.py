"""A store, servers of a plain service and gateways."""

import asyncio
from collections.abc import Sequence
import pathlib

from review.lib3 import callers
from review.lib3 import desk
from review.lib3 import gateway
from review.lib3 import platform_standin

_START_S = 25.0
# A gateway counts the gateways some seconds after its start.
_SETTLE_S = 8.0


async def start(
    folder: pathlib.Path,
    desks: list[desk.Desk],
    timeout_ms: int,
    names: Sequence[str],
) -> list[gateway.Gateway]:
    """Starts everything and waits until the gateways serve.

    Raises:
        RuntimeError: If one does not start; all have been stopped then.
    """
    store = platform_standin.Store()
    address = await store.start(gateway.loopback_host())
    store.put("config", "main", callers.configuration(7, timeout_ms))
    for server in desks:
        await server.start(gateway.loopback_host())
        store.put(
            "servers",
            server.instance_id,
            server.entry("brum-a", gateway.now_ms()),
        )
    fronts = [gateway.Gateway(name, address, folder) for name in names]
    for front in fronts:
        if not await wait_ready(front):
            for started in fronts:
                started.stop()
            raise RuntimeError("a gateway did not start")
    await asyncio.sleep(_SETTLE_S)
    return fronts


async def wait_ready(front: gateway.Gateway) -> bool:
    """Waits until a gateway says that it is ready; returns whether it does."""
    for _ in range(round(_START_S / 0.2)):
        if front.process.poll() is not None:
            return False
        if await asyncio.to_thread(front.is_ready):
            return True
        await asyncio.sleep(0.2)
    return False
