"""A broken promise."""

import msgspec

from tools.soak import promise


class Violation(msgspec.Struct, frozen=True):
    """One promise broken in a trial.

    Attributes:
        promise: Which one.
        request_id: Request that shows it, or empty.
        detail: What was seen.
    """

    promise: promise.Promise
    request_id: str
    detail: str
