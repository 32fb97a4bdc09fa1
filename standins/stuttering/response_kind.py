"""Kinds of responses of the stuttering endpoint stand-in."""

import enum


class ResponseKind(enum.Enum):
    """Status of a response and what is wrong with it.

    Attributes:
        status: HTTP status.
    """

    status: int

    def __new__(cls, name: str, status: int) -> "ResponseKind":
        """Creates a kind whose value is its name."""
        member = object.__new__(cls)
        member._value_ = name
        member.status = status
        return member

    SUCCESS = "success", 200
    FAILURE = "failure", 500
    TIMEOUT = "timeout", 504
    NOT_FOUND = "not-found", 404
    # The response states that the request has not run.
    REFUSAL = "refusal", 503
    UNAVAILABLE = "unavailable", 503
    # The connection ends inside the body.
    CUT_SHORT = "cut-short", 200
    # The body ends with the connection.
    UNFRAMED = "unframed", 200
    # The response names no request.
    UNNAMED = "unnamed", 200

    @property
    def has_run(self) -> bool:
        """Whether the request has run."""
        return self is not ResponseKind.REFUSAL

    @property
    def ends_connection(self) -> bool:
        """Whether no request can follow on the connection."""
        return self in (ResponseKind.CUT_SHORT, ResponseKind.UNFRAMED)
