"""What is known of a request's runs, and the error that this amounts to."""

import functools

from bronzeslip.gateway import errors
from bronzeslip.gateway import request_context
from bronzeslip.generation import errors as generation_errors
from bronzeslip.transport.frames import reason

RETRY_AFTER_S = 1.0


class FailureTracker:
    """Tells the caller no more than is known.

    Attributes:
        has_started: Whether an endpoint has begun to run the request.
        may_have_started: Whether one may have begun.
        is_pool_busy: Whether an endpoint was only too busy for it.
        retry_after_s: When the caller may come back, in seconds.
    """

    def __init__(self, context: request_context.RequestContext) -> None:
        self._is_idempotent = context.service.idempotent
        self.has_started = False
        self.may_have_started = False
        self.is_pool_busy = False
        self.retry_after_s = RETRY_AFTER_S

    def build_error(self, text: str) -> errors.GatewayError:
        """Returns the error for a request that ends now."""
        error_type = errors.NotRunError
        if self.may_have_started:
            error_type = errors.OutcomeUnknownError
        if self.has_started:
            error_type = errors.IncompleteResponseError
        return error_type(text, retry_after_s=self.retry_after_s)

    def check_may_rerun(self, error: generation_errors.GenerationError) -> None:
        """Raises unless the request may be sent to another endpoint."""
        expired = isinstance(error, generation_errors.DeadlineExceededError)
        if expired or not self._is_idempotent:
            raise self.build_error(error.message) from error

    @functools.singledispatchmethod
    def record(self, error: generation_errors.GenerationError) -> None:
        """Notes why an endpoint did not take the request.

        Raises:
            errors.GatewayError: If it may not be sent to another one.
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
