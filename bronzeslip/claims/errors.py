"""Errors of claims."""

from bronzeslip import errors


class ClaimError(errors.BronzeslipError):
    """A claim could not be made or read."""

    code = "claim-error"


class ClaimTakenError(ClaimError):
    """Another attempt holds the claim."""

    code = "claim-taken"


class ClaimsUnavailableError(ClaimError):
    """The platform does not answer; a write may have taken effect."""

    code = "claims-unavailable"
