"""Errors of calls to an endpoint."""

from bronzeslip import errors


class EndpointError(errors.BronzeslipError):
    """A call to an endpoint failed."""

    code = "endpoint-error"


class EndpointUnreachableError(EndpointError):
    """No connection came about; nothing was sent."""

    code = "endpoint-unreachable"


class EndpointAbsentError(EndpointUnreachableError):
    """Nothing listens at the address, or another endpoint does."""

    code = "endpoint-absent"


class EndpointResponseLostError(EndpointError):
    """The answer is missing or broken; the request may have run."""

    code = "endpoint-broken"


class EndpointRefusedError(EndpointError):
    """The endpoint did not do what it was asked."""

    code = "endpoint-refused"
