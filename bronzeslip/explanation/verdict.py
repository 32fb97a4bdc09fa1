"""What a gateway would do with a request."""

import enum


class Verdict(enum.Enum):
    """Result of a decision.

    Attributes:
        SEND: This gateway selects the endpoint.
        ASK_COORDINATOR: The coordinator of the service selects the endpoint.
        REFUSE: The request is refused.
    """

    SEND = "send"
    ASK_COORDINATOR = "ask-coordinator"
    REFUSE = "refuse"
