"""A broken promise."""

import msgspec

from tools.soak import invariant


class Violation(msgspec.Struct, frozen=True):
    """One promise broken in a trial.

    Attributes:
        invariant: Which one.
        request_id: Request that shows it, or empty.
        detail: What was seen.
    """

    invariant: invariant.Invariant
    request_id: str
    detail: str
