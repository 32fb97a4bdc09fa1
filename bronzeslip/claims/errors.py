"""Errors raised for claims."""

from bronzeslip import errors


class ClaimError(errors.BronzeslipError):
    """A claim could not be written or read."""

    code = "claim-error"


class ClaimTakenError(ClaimError):
    """The claim is held by another attempt or has changed."""

    code = "claim-taken"


class ClaimsUnavailableError(ClaimError):
    """The platform is unavailable; a write may have taken effect."""

    code = "claims-unavailable"
