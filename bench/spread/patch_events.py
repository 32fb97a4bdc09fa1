"""Watch events of patches to a configuration of the expected size."""

import httpx

from bronzeslip import ids
from bronzeslip.configuration import manifest
from bronzeslip.configuration import store
from bronzeslip.store import client
from bronzeslip.store import objects
from standins.platform import app
from tools import large_configuration

PATCHES_PER_DAY = 3_800
_SECONDS_PER_DAY = 86_400
PATCHES_PER_S = PATCHES_PER_DAY / _SECONDS_PER_DAY
_WARM_UP_PATCHES = 8


async def collect(count: int) -> list[objects.WatchBatch]:
    """Applies patches to the platform stand-in and returns their events."""
    standin = app.PlatformStandin()
    platform = client.PlatformClient(
        "http://platform", 60.0, httpx.ASGITransport(standin.app())
    )
    configuration_store = store.ConfigurationStore(platform)
    await configuration_store.apply(
        create_request(0, large_configuration.document())
    )
    batches = []
    for number in range(1, _WARM_UP_PATCHES + count + 1):
        before = (await platform.list_objects("none/")).version
        name = f"workspace-{number * 37 % large_configuration.WORKSPACE_COUNT}"
        patch = {"workspaces": {name: {"weight": float(number)}}}
        await configuration_store.apply(create_request(number, patch))
        batches.append(await platform.watch(manifest.PREFIX, before, 0.0))
    await platform.close()
    return batches[-count:]


def create_request(base_number: int, patch: object) -> store.PatchRequest:
    """Creates a patch request of the operator "bench"."""
    return store.PatchRequest(
        ids.PatchId(ids.random_id()),
        ids.ConfigurationNumber(base_number),
        ids.OperatorName("bench"),
        patch,
    )
