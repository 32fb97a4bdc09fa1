"""Errors of requests that receive no complete endpoint response."""

from bronzeslip import errors


class ForwardingError(errors.BronzeslipError):
    """A request failed without a complete response of an endpoint."""

    code = "forwarding"


class BadRequestError(ForwardingError):
    """The request is malformed."""

    code = "bad-request"


class UnknownRouteError(ForwardingError):
    """No route matches the request."""

    code = "unknown-route"


class UnknownKeyError(ForwardingError):
    """The request has no key, or one that belongs to no workspace."""

    code = "unknown-key"


class BodyTooLargeError(ForwardingError):
    """The body is larger than the configuration allows."""

    code = "body-too-large"


class NotRunError(ForwardingError):
    """The request has not run and will not; it may be sent again."""

    code = "not-run"


class NoEligibleEndpointError(NotRunError):
    """No endpoint is where the request may be sent."""

    code = "no-eligible-endpoint"


class EvacuatedError(NoEligibleEndpointError):
    """All endpoints that the request may be sent to are evacuated."""

    code = "evacuated"


class OverloadedError(NotRunError):
    """The request could not have been served in time."""

    code = "overloaded"


class MemoryShortError(NotRunError):
    """The gateway has no room for the request."""

    code = "memory-short"


class LimitedError(NotRunError):
    """Every endpoint that is left has reached its limit on requests."""

    code = "limited"


class QuarantinedError(NotRunError):
    """The request was running during endpoint crashes and is rejected."""

    code = "quarantined"


class OutcomeUnknownError(ForwardingError):
    """The request may have run, but its response is lost."""

    code = "outcome-unknown"


class DeadlineExceededError(ForwardingError):
    """The deadline of the request has passed; the request may have run."""

    code = "deadline-exceeded"


class ResponseInterruptedError(ForwardingError):
    """The response had started and cannot be completed."""

    code = "answer-broken-off"
