"""Errors raised by routing."""

from bronzeslip import errors


class RoutingError(errors.BronzeslipError):
    """No endpoint can serve the request."""

    code = "routing-error"


class NoEndpointError(RoutingError):
    """The pool has no endpoint that accepts new requests."""

    code = "no-endpoint"
