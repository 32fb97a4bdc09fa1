"""Declaration of a rule that binds workspaces and a service to a pool."""

import msgspec

from bronzeslip import ids

ANY_WORKSPACE = ids.WorkspaceId("*")


class Binding(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Binds workspaces to the pool that serves a service for them.

    Attributes:
        workspaces: Workspaces bound, or ANY_WORKSPACE.
        service: Service bound.
        pool: Pool that serves it.
        regions: Regions whose endpoints may serve; empty means all.
    """

    workspaces: tuple[ids.WorkspaceId, ...]
    service: ids.ServiceName
    pool: ids.PoolName
    regions: tuple[ids.RegionName, ...] = ()
