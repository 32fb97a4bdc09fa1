"""Errors raised for membership."""

from bronzeslip import errors


class MembershipError(errors.BronzeslipError):
    """A membership operation failed."""

    code = "membership-error"
