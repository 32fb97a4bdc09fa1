"""A violated invariant."""

import msgspec

from tools.soak import invariant


class Violation(msgspec.Struct, frozen=True):
    """One violation of an invariant in a trial.

    Attributes:
        invariant: The violated invariant.
        request_id: Id of the request that shows it, or empty.
        detail: What was observed.
    """

    invariant: invariant.Invariant
    request_id: str
    detail: str
