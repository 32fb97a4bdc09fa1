"""Errors of the spread of objects."""

from bronzeslip import errors


class ReplicationError(errors.BronzeslipError):
    """Objects could not be spread."""

    code = "spread-error"


class GapError(ReplicationError):
    """Events are missing between what is held and what arrived."""

    code = "spread-gap"


class RelayLostError(ReplicationError):
    """The relay followed has gone, is silent or is out of date."""

    code = "spread-relay-lost"
