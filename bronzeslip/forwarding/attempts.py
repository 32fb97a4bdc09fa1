"""Sends a request to endpoints until one of them answers."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Set as AbstractSet
import functools
from typing import TypeVar

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_tracker
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import permitted_chooser
from bronzeslip.forwarding import resumption_reserve
from bronzeslip.forwarding import service_retry_budgets
from bronzeslip.metrics import entry_metrics

logger = logs.get_logger(__name__)

# A full endpoint may have free capacity after a few responses.
_RETRY_AFTER_S = 0.5
# The request fails once more endpoints than this refuse it or are unreachable.
# Endpoints that may have run it are not counted.
_MAX_REFUSALS = 3

_ANSWERED = "answered"

ResultT = TypeVar("ResultT")


class AttemptRunner:
    """Tries endpoints until one returns a response.

    A request that may run only once is sent to another endpoint only if the
    previous endpoint reported that it did not run it or was unreachable.
    """

    def __init__(
        self,
        endpoint_chooser: permitted_chooser.PermittedChooser,
        failures: failure_tracker.FailureTracker,
        retry_budgets: service_retry_budgets.ServiceRetryBudgets,
        crash_detector: crash_watch.CrashDetector,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        """Initializes the runner.

        Args:
            endpoint_chooser: Chooses endpoints.
            failures: Records failures of endpoints.
            retry_budgets: Limits the retries of each service.
            crash_detector: Quarantines requests that crash endpoints.
            metrics: Counts attempts.
        """
        self._endpoint_chooser = endpoint_chooser
        self._failures = failures
        self._retry_budgets = retry_budgets
        self._crash_detector = crash_detector
        self._metrics = metrics

    async def run(
        self,
        request: admitted.AdmittedRequest,
        attempt: Callable[[endpoint.Endpoint], Awaitable[ResultT]],
    ) -> ResultT:
        """Sends a request, with retries, and returns the result.

        Args:
            request: Request to send.
            attempt: Sends the request to one endpoint. Raises an
                `endpoint_errors.EndpointError` if that fails.

        Raises:
            errors.NotRunError: If no endpoint ran the request.
            errors.OutcomeUnknownError: If an endpoint may have run it.
        """
        budget = self._retry_budgets.count_request(request.service.name)
        tried: set[ids.EndpointId] = set()
        possible_runs = 0
        # Endpoints that received the request; only these use retry budget.
        deliveries = 0
        while True:
            chosen = await self._choose(request, tried, possible_runs)
            if deliveries and not budget.take(
                resumption_reserve.reserved_by(request)
            ):
                raise _retries_exhausted(
                    possible_runs, "the retry budget is exhausted"
                )
            tried.add(chosen.endpoint_id)
            try:
                with self._crash_detector.track_suspect(
                    request, chosen, possible_runs > 0
                ):
                    return await self._send_once(request, chosen, attempt)
            except endpoint_errors.EndpointResponseLostError as error:
                possible_runs += 1
                deliveries += 1
                self._crash_detector.record_lost_response(request, chosen)
                if not self._is_retry_allowed(request, possible_runs):
                    raise errors.OutcomeUnknownError(error.message) from error
                await self._crash_detector.wait_for_crash_check(request, chosen)
            except endpoint_errors.EndpointError as error:
                deliveries += _was_delivered(error)
                if len(tried) - possible_runs > _MAX_REFUSALS:
                    raise _retries_exhausted(
                        possible_runs, error.message
                    ) from error

    async def _choose(
        self,
        request: admitted.AdmittedRequest,
        tried: set[ids.EndpointId],
        possible_runs: int,
    ) -> endpoint.Endpoint:
        avoided = self._crash_detector.endpoints_to_avoid(
            request, possible_runs > 0
        )
        try:
            self._crash_detector.reject_quarantined(request)
            if avoided - tried:
                return await self._choose_excluding(request, tried, avoided)
            return await self._choose_permitted(request, tried)
        except errors.NotRunError as error:
            if possible_runs:
                raise errors.OutcomeUnknownError(error.message) from error
            raise

    async def _choose_excluding(
        self,
        request: admitted.AdmittedRequest,
        tried: set[ids.EndpointId],
        avoided: frozenset[ids.EndpointId],
    ) -> endpoint.Endpoint:
        try:
            return await self._choose_permitted(request, tried | avoided)
        except errors.NotRunError:
            return await self._choose_permitted(request, tried)

    async def _choose_permitted(
        self,
        request: admitted.AdmittedRequest,
        excluded: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        return await self._endpoint_chooser.choose(
            request, excluded, resumption_reserve.reserved_by(request)
        )

    async def _send_once(
        self,
        request: admitted.AdmittedRequest,
        chosen: endpoint.Endpoint,
        attempt: Callable[[endpoint.Endpoint], Awaitable[ResultT]],
    ) -> ResultT:
        try:
            result = await attempt(chosen)
        except endpoint_errors.EndpointError as error:
            self._failures.record_failure(chosen.endpoint_id)
            self._metrics.count_attempt(error.code)
            logger.info(
                "attempt.failed",
                request=request.request.request_id,
                endpoint=chosen.endpoint_id,
                code=error.code,
                reason=error.message,
            )
            raise
        self._failures.record_success(chosen.endpoint_id)
        self._metrics.count_attempt(_ANSWERED)
        return result

    def _is_retry_allowed(
        self, request: admitted.AdmittedRequest, possible_runs: int
    ) -> bool:
        return (
            request.route.may_run_again
            and possible_runs < request.route.max_attempts
            and request.remaining_s > 0
        )


def _retries_exhausted(
    possible_runs: int, reason: str
) -> errors.ForwardingError:
    if possible_runs:
        return errors.OutcomeUnknownError(reason)
    return errors.NotRunError(reason, retry_after_s=_RETRY_AFTER_S)


@functools.singledispatch
def _was_delivered(_: endpoint_errors.EndpointError) -> bool:
    """Returns whether the request reached the endpoint before the failure."""
    return True


@_was_delivered.register
def _(_: endpoint_errors.EndpointUnreachableError) -> bool:
    return False
