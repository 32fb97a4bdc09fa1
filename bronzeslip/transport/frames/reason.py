"""Why work was refused or lost."""

import enum


class RefusalReason(enum.Enum):
    """Why a sidecar did not run a request."""

    DRAINING = "draining"
    QUEUE_FULL = "queue-full"
    BUSY = "busy"
    EXPIRED = "expired"
    ENDPOINT_DOWN = "endpoint-down"
    UNKNOWN_GENERATION = "unknown-generation"
    WRONG_INCARNATION = "wrong-incarnation"
    CANCELLED = "cancelled"


class LossReason(enum.Enum):
    """Why a generation that had started was lost."""

    ENDPOINT_DOWN = "endpoint-down"
    RECLAIMED = "reclaimed"
    ORPHANED = "orphaned"
    CANCELLED = "cancelled"


class FinishReason(enum.Enum):
    """Why a generation came to its end."""

    STOP = "stop"
    LENGTH = "length"
