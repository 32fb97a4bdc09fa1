"""Errors that the gateway tells its callers."""

from bronzeslip import errors


class GatewayError(errors.BronzeslipError):
    """A request could not be served.

    Attributes:
        status: HTTP status of the answer.
        title: Short summary of the kind of problem.
    """

    status = 500
    title = "Internal error"


class BadRequestError(GatewayError):
    """The request is malformed."""

    code = "bad-request"
    status = 400
    title = "Bad request"


class UnauthorizedError(GatewayError):
    """The credential is missing or not known."""

    code = "unauthorized"
    status = 401
    title = "Unauthorized"


class NotFoundError(GatewayError):
    """The workspace has no such model or service."""

    code = "not-found"
    status = 404
    title = "Not found"


class BadResumeTokenError(BadRequestError):
    """The Last-Event-ID is not one that this workspace was given."""

    code = "bad-resume-token"


class GenerationGoneError(GatewayError):
    """The generation to be read on is no longer kept."""

    code = "generation-gone"
    status = 410
    title = "Generation gone"


class CallerGoneError(GatewayError):
    """The caller closed the connection; nobody reads this."""

    code = "caller-gone"
    status = 499
    title = "Caller gone"


class TooLargeError(GatewayError):
    """The request is larger than allowed."""

    code = "too-large"
    status = 413
    title = "Request too large"


class ConflictError(GatewayError):
    """The request conflicts with the current state."""

    code = "conflict"
    status = 409
    title = "Conflict"


class LimitedError(GatewayError):
    """The workspace is over its limit; the request was not run."""

    code = "limited"
    status = 429
    title = "Too many requests"


class NotRunError(GatewayError):
    """No endpoint took the request; it was not run."""

    code = "not-run"
    status = 503
    title = "Not run"


class IncompleteError(GatewayError):
    """The answer broke off; what was sent is not whole."""

    code = "incomplete"
    status = 502
    title = "Answer incomplete"


class OutcomeUnknownError(GatewayError):
    """The call may or may not have been run."""

    code = "outcome-unknown"
    status = 502
    title = "Outcome unknown"


class UnavailableError(GatewayError):
    """The system cannot serve the request now; it was not run."""

    code = "unavailable"
    status = 503
    title = "Unavailable"
