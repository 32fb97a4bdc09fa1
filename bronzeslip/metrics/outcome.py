"""Outcomes of requests."""

import enum


class RequestOutcome(enum.Enum):
    """Outcome reported to the caller; CANCELLED if the caller left first."""

    COMPLETED = "completed"
    REFUSED = "refused"
    INCOMPLETE = "incomplete"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CANCELLED = "cancelled"
