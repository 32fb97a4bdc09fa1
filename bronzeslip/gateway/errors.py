"""Errors that the gateway returns to callers."""

from bronzeslip import errors
from bronzeslip import ids


class GatewayError(errors.BronzeslipError):
    """A request could not be served.

    Attributes:
        status: HTTP status of the response.
        title: Short summary of the type of problem.
        field: Invalid field of the request, or None.
        may_repeat: Whether the client may retry the request automatically;
            None leaves the decision to the HTTP status.
        request_id: Id of the failed request, once it is known.
        current_number: Current configuration number if the request was based
            on an older one, otherwise None.
    """

    status = 500
    title = "Internal error"
    may_repeat: bool | None = None

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        field: str | None = None,
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.field = field
        self.request_id: ids.RequestId | None = None
        self.current_number: ids.ConfigurationNumber | None = None


class BadRequestError(GatewayError):
    """The request is malformed."""

    code = "bad-request"
    status = 400
    title = "Bad request"


class UnauthorizedError(GatewayError):
    """The credential is missing or unknown."""

    code = "unauthorized"
    status = 401
    title = "Unauthorized"


class NotFoundError(GatewayError):
    """The requested model, service or route does not exist."""

    code = "not-found"
    status = 404
    title = "Not found"


class ModelNotFoundError(NotFoundError):
    """The workspace has no such model."""

    code = "model-not-found"


class ServiceNotFoundError(NotFoundError):
    """The workspace has no such service."""

    code = "service-not-found"


class RouteNotFoundError(NotFoundError):
    """No route matches the path."""

    code = "route-not-found"


class MethodNotAllowedError(GatewayError):
    """The route does not support the HTTP method."""

    code = "method-not-allowed"
    status = 405
    title = "Method not allowed"


class ReadTimeoutError(GatewayError):
    """The request was not received in time; it was not run."""

    code = "read-timeout"
    status = 408
    title = "Request timeout"


class UnsupportedMediaTypeError(GatewayError):
    """The route does not support the media type of the body."""

    code = "unsupported-media-type"
    status = 415
    title = "Unsupported media type"


class BadResumeTokenError(BadRequestError):
    """The Last-Event-ID is malformed or not issued to this workspace."""

    code = "bad-resume-token"


class GenerationGoneError(GatewayError):
    """The generation to resume is no longer available."""

    code = "generation-gone"
    status = 410
    title = "Generation gone"


class CallerDisconnectedError(GatewayError):
    """The caller closed the connection; the response is not delivered."""

    code = "caller-gone"
    status = 499
    title = "Caller gone"


class TooLargeError(GatewayError):
    """The request exceeds a size limit."""

    code = "too-large"
    status = 413
    title = "Request too large"


class ConflictError(GatewayError):
    """The request conflicts with the current state."""

    code = "conflict"
    may_repeat = False
    status = 409
    title = "Conflict"


class InProgressError(GatewayError):
    """Another attempt with the same idempotency key is in progress."""

    code = "in-progress"
    status = 409
    title = "In progress"


class AlreadyRunError(GatewayError):
    """The call was run, but its response is not available."""

    code = "already-run"
    may_repeat = False
    status = 409
    title = "Already run"


class KeyReusedError(GatewayError):
    """The key belongs to another request; this one was not run."""

    code = "key-reused"
    status = 422
    title = "Idempotency key reused"


class QuarantinedError(GatewayError):
    """Endpoints crashed while running the request; it is not run again."""

    code = "quarantined"
    may_repeat = False
    status = 422
    title = "Quarantined"


class LimitExceededError(GatewayError):
    """The workspace exceeded a limit; the request was not run."""

    code = "limited"
    status = 429
    title = "Too many requests"


class NotRunError(GatewayError):
    """No endpoint accepted the request; it was not run."""

    code = "not-run"
    status = 503
    title = "Not run"


class IncompleteResponseError(GatewayError):
    """The generation was interrupted; any response sent is incomplete."""

    code = "incomplete"
    status = 502
    title = "Answer incomplete"


class OutcomeUnknownError(GatewayError):
    """The call may or may not have been run."""

    code = "outcome-unknown"
    may_repeat = False
    status = 502
    title = "Outcome unknown"


class UnavailableError(GatewayError):
    """The system cannot serve the request now; it was not run."""

    code = "unavailable"
    status = 503
    title = "Unavailable"
