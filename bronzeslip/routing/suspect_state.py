"""How a request stands after crashes."""

import enum


class SuspectState(enum.Enum):
    """Whether a request may have crashed an endpoint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
