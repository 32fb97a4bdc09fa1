"""Errors of the replication of platform objects."""

from bronzeslip import errors


class ReplicationError(errors.BronzeslipError):
    """The replication of platform objects failed."""

    code = "spread-error"


class GapError(ReplicationError):
    """Events between the local version and an update are missing."""

    code = "spread-gap"


class RelayLostError(ReplicationError):
    """The connection to a relay was lost, or its data is out of date."""

    code = "spread-relay-lost"
