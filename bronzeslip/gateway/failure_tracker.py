"""Failed attempts of a request and the resulting error."""

import functools

from bronzeslip.gateway import errors
from bronzeslip.gateway import request_context
from bronzeslip.generation import errors as generation_errors
from bronzeslip.transport.frames import reason

RETRY_AFTER_S = 1.0


class FailureTracker:
    """Tracks failed attempts and selects the error to return.

    The error states that the request was run, or that it was not, only if that
    is certain.

    Attributes:
        has_started: Whether an endpoint has started to run the request.
        may_have_started: Whether an endpoint may have started to run it.
        is_pool_busy: Whether an endpoint refused the request only because it
            was busy.
        retry_after_s: Time after which the caller may retry, in seconds.
    """

    def __init__(self, context: request_context.RequestContext) -> None:
        self._is_idempotent = context.service.idempotent
        self.has_started = False
        self.may_have_started = False
        self.is_pool_busy = False
        self.retry_after_s = RETRY_AFTER_S

    def build_error(self, message: str) -> errors.GatewayError:
        """Returns the error for a request that is not tried again."""
        error_type = errors.NotRunError
        if self.may_have_started:
            error_type = errors.OutcomeUnknownError
        if self.has_started:
            error_type = errors.IncompleteResponseError
        return error_type(message, retry_after_s=self.retry_after_s)

    def check_may_rerun(self, error: generation_errors.GenerationError) -> None:
        """Raises an error unless another endpoint may run the request."""
        expired = isinstance(error, generation_errors.DeadlineExceededError)
        if expired or not self._is_idempotent:
            raise self.build_error(error.message) from error

    @functools.singledispatchmethod
    def record(self, error: generation_errors.GenerationError) -> None:
        """Records why an endpoint did not accept the request.

        Raises:
            errors.GatewayError: If the request may not be sent to another
                endpoint.
        """
        self.may_have_started = True
        self.check_may_rerun(error)

    @record.register
    def _(self, error: generation_errors.GenerationRefusedError) -> None:
        if error.refusal is reason.RefusalReason.BUSY:
            self.is_pool_busy = True
        self.retry_after_s = error.retry_after_s or RETRY_AFTER_S

    @record.register
    def _(self, error: generation_errors.GenerationLostError) -> None:
        self.has_started = True
        self.check_may_rerun(error)
