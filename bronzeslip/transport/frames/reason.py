"""Reasons why requests were refused, lost or finished."""

import enum


class RefusalReason(enum.Enum):
    """Reason why a sidecar refused a request."""

    DRAINING = "draining"
    QUEUE_FULL = "queue-full"
    BUSY = "busy"
    EXPIRED = "expired"
    ENDPOINT_DOWN = "endpoint-down"
    UNKNOWN_GENERATION = "unknown-generation"
    WRONG_INCARNATION = "wrong-incarnation"
    CANCELLED = "cancelled"


class LossReason(enum.Enum):
    """Reason why a started generation was lost."""

    ENDPOINT_DOWN = "endpoint-down"
    RECLAIMED = "reclaimed"
    ORPHANED = "orphaned"
    CANCELLED = "cancelled"


class FinishReason(enum.Enum):
    """Reason why a generation finished."""

    STOP = "stop"
    LENGTH = "length"
