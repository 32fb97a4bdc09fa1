"""Workspace with its keys."""

import msgspec

from bronzeslip import ids


class KeyedWorkspace(msgspec.Struct, frozen=True):
    """A workspace as declared in the configuration.

    Attributes:
        workspace_id: Id of the workspace.
        keys: Keys that its callers present.
        priority: Priority that overrides that of the route, or None.
        permitted_regions: Regions of the endpoints that its requests may be
            sent to, or None if they may be sent anywhere.
    """

    workspace_id: ids.WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None
    permitted_regions: frozenset[ids.RegionName] | None = None
