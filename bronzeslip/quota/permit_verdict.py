"""Verdict on a request for a permit."""

import enum


class PermitVerdict(enum.Enum):
    """Whether a gateway may send a request."""

    GRANTED = "granted"
    DENIED = "denied"
    # The gateway that was asked must not decide.
    NOT_RESPONSIBLE = "not-responsible"
