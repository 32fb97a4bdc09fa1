"""State of a request after endpoint crashes."""

import enum


class SuspectState(enum.Enum):
    """Suspicion that a request has crashed an endpoint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
