"""What became of a request."""

import enum


class RequestOutcome(enum.Enum):
    """What the caller was told, or that it did not wait to be told."""

    COMPLETED = "completed"
    REFUSED = "refused"
    INCOMPLETE = "incomplete"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CANCELLED = "cancelled"
