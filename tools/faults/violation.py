"""A broken promise."""

import msgspec

from tools.faults import invariant


class Violation(msgspec.Struct, frozen=True):
    """One promise broken in a history.

    Attributes:
        invariant: Which one.
        detail: What was seen.
    """

    invariant: invariant.Invariant
    detail: str
