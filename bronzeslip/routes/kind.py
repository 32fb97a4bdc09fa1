"""Request kinds by retry semantics."""

import enum


class RequestKind(enum.Enum):
    """Retry semantics of the requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"
