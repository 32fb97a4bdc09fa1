"""What may be repeated of a request."""

import enum


class RequestKind(enum.Enum):
    """Kind of the requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"
