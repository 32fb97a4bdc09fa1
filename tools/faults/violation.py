"""A broken promise."""

import msgspec

from tools.faults import promise


class Violation(msgspec.Struct, frozen=True):
    """One promise broken in a history.

    Attributes:
        promise: Which one.
        detail: What was seen.
    """

    promise: promise.Promise
    detail: str
