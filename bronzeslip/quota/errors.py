"""Errors of calls between gateways."""

from bronzeslip import errors


class PeerUnavailableError(errors.BronzeslipError):
    """Another gateway did not return a valid reply in time."""

    code = "peer-unavailable"
