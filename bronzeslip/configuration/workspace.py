"""Declaration of a workspace."""

import enum

import msgspec


class WorkspaceClass(enum.Enum):
    """Class of a workspace's requests."""

    INTERACTIVE = "interactive"
    DRAFT = "draft"
    BATCH = "batch"


class WorkspaceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one workspace, shared out evenly between the gateways.

    Attributes:
        requests_in_flight: Most requests running or waiting at once.
        requests_per_s: Sustained rate of requests, or None for no limit.
        prompt_bytes: Largest prompt, in bytes.
    """

    requests_in_flight: int = 1000
    requests_per_s: float | None = None
    prompt_bytes: int = 1_000_000


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace and its share of the system.

    Attributes:
        credentials_sha256: Hexadecimal digests of accepted credentials.
        workspace_class: Class of its requests.
        weight: Share relative to other workspaces.
        limits: Limits on its requests.
    """

    credentials_sha256: tuple[str, ...]
    workspace_class: WorkspaceClass = WorkspaceClass.INTERACTIVE
    weight: float = 1.0
    limits: WorkspaceLimits = WorkspaceLimits()
