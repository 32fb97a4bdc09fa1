"""Reasons for which a request gets no endpoint's answer."""

from bronzeslip import errors


class ForwardingError(errors.BronzeslipError):
    """A request ends without the answer of an endpoint."""

    code = "forwarding"


class BadRequestError(ForwardingError):
    """The request says something that makes no sense."""

    code = "bad-request"


class UnknownRouteError(ForwardingError):
    """No route takes the request."""

    code = "unknown-route"


class UnknownKeyError(ForwardingError):
    """The request shows no key that a workspace holds."""

    code = "unknown-key"


class BodyTooLargeError(ForwardingError):
    """The body is larger than the configuration allows."""

    code = "body-too-large"


class NotRunError(ForwardingError):
    """The request has not run and will not; it may be sent again."""

    code = "not-run"


class OverloadedError(NotRunError):
    """The request could not have been served in time."""

    code = "overloaded"


class QuarantinedError(NotRunError):
    """The request was running at crashes of endpoints and is kept away."""

    code = "quarantined"


class OutcomeUnknownError(ForwardingError):
    """The request may have run, and its answer is lost."""

    code = "outcome-unknown"


class DeadlineExceededError(ForwardingError):
    """The time for an answer is over; the request may have run."""

    code = "deadline-exceeded"


class ResponseInterruptedError(ForwardingError):
    """The answer had begun and can't be completed."""

    code = "answer-broken-off"
