"""Declaration of a pool of endpoints."""

import enum

import msgspec

from bronzeslip.configuration import assignment as assignments
from bronzeslip.configuration import service


class FencingMode(enum.Enum):
    """Whether the endpoints of a pool check fencing numbers."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of like endpoints.

    Attributes:
        kind: Kind of the endpoints.
        models: Models that the engines of the pool serve.
        fencing: Whether its endpoints refuse old fencing numbers.
        assignment: What its engines are to have loaded; None leaves them.
    """

    kind: service.ServiceKind
    models: tuple[str, ...] = ()
    fencing: FencingMode = FencingMode.IGNORED
    assignment: assignments.Assignment | None = None
