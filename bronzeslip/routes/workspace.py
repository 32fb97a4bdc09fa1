"""A workspace and its keys."""

import msgspec

from bronzeslip import ids


class KeyedWorkspace(msgspec.Struct, frozen=True):
    """A workspace as the configuration declares it.

    Attributes:
        workspace_id: The workspace.
        keys: Keys that its callers show.
        priority: Rank that goes before the route's, or None.
    """

    workspace_id: ids.WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None
