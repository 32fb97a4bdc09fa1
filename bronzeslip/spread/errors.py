"""Errors of the spread of objects."""

from bronzeslip import errors


class SpreadError(errors.BronzeslipError):
    """Objects could not be spread."""

    code = "spread-error"


class GapError(SpreadError):
    """Events are missing between what is held and what arrived."""

    code = "spread-gap"


class RelayLostError(SpreadError):
    """The relay followed has gone, is silent or is out of date."""

    code = "spread-relay-lost"
