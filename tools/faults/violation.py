"""A violated invariant."""

import msgspec

from tools.faults import invariant


class Violation(msgspec.Struct, frozen=True):
    """One violation of an invariant in a history.

    Attributes:
        invariant: The violated invariant.
        detail: What was observed.
    """

    invariant: invariant.Invariant
    detail: str
