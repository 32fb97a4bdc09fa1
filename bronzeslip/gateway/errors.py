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


class InProgressError(GatewayError):
    """Another attempt with the same key is under way."""

    code = "in-progress"
    status = 409
    title = "In progress"


class AlreadyRunError(GatewayError):
    """The call has been run and its answer is no longer kept."""

    code = "already-run"
    status = 409
    title = "Already run"


class KeyReusedError(GatewayError):
    """The key stands for another request; this one was not run."""

    code = "key-reused"
    status = 422
    title = "Idempotency key reused"


class QuarantinedError(GatewayError):
    """The request has crashed endpoints and is no longer run."""

    code = "quarantined"
    status = 422
    title = "Quarantined"


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
