"""A store, servers of a plain service and one gateway."""

import asyncio
import pathlib

from review.lib3 import callers
from review.lib3 import desk
from review.lib3 import gateway
from review.lib3 import platform_standin

_START_S = 25.0
# The gateway counts the gateways some seconds after its start.
_SETTLE_S = 8.0


async def start(
    folder: pathlib.Path, desks: list[desk.Desk], timeout_ms: int
) -> gateway.Gateway:
    """Starts everything and waits until the gateway serves.

    Raises:
        RuntimeError: If the gateway does not start; it has been stopped then.
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
    front = gateway.Gateway("front-brum-a-1", address, folder)
    if not await _wait_ready(front):
        front.stop()
        raise RuntimeError("the gateway did not start")
    await asyncio.sleep(_SETTLE_S)
    return front


async def _wait_ready(front: gateway.Gateway) -> bool:
    for _ in range(round(_START_S / 0.2)):
        if front.process.poll() is not None:
            return False
        if await asyncio.to_thread(front.is_ready):
            return True
        await asyncio.sleep(0.2)
    return False
