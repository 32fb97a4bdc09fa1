"""Errors of calls to an endpoint."""

from bronzeslip import errors


class EndpointError(errors.BronzeslipError):
    """A call to an endpoint failed."""

    code = "endpoint-error"


class EndpointUnreachableError(EndpointError):
    """The connection could not be established; nothing was sent."""

    code = "endpoint-unreachable"


class EndpointAbsentError(EndpointUnreachableError):
    """Nothing listens at the address, or another endpoint does."""

    code = "endpoint-absent"


class EndpointEvacuatedError(EndpointUnreachableError):
    """The failure domain of the endpoint is evacuated; nothing was sent."""

    code = "endpoint-evacuated"


class EndpointResponseLostError(EndpointError):
    """The response is missing or invalid; the request may have run."""

    code = "endpoint-broken"


class EndpointRefusedError(EndpointError):
    """The endpoint refused the request."""

    code = "endpoint-refused"


class EndpointNotFoundError(EndpointRefusedError):
    """The endpoint does not know the run or the copy that a call names."""

    code = "endpoint-not-found"


class RunContinuesError(EndpointError):
    """An engine goes on with a run whose response was lost."""

    code = "run-continues"
