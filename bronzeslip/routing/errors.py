"""Errors of routing."""

from bronzeslip import errors


class RoutingError(errors.BronzeslipError):
    """No endpoint can take a request."""

    code = "routing-error"


class NoEndpointError(RoutingError):
    """The pool has no endpoint that takes new work."""

    code = "no-endpoint"
