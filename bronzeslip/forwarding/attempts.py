"""Sends a request to one endpoint after the other."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import TypeVar

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_memory
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import repeat_budgets
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import kind

logger = logs.get_logger(__name__)

# An endpoint that is full now may have room after a few answers.
_RETRY_AFTER_S = 0.5
# Endpoints tried that refuse or can't be reached, beside those that run it.
_MAX_REFUSALS = 3

_ANSWERED = "answered"

ResultT = TypeVar("ResultT")


class Attempts:
    """Tries endpoints until one has given its answer.

    A request that may not run twice goes to another endpoint only after the
    one before has said that it did not run it, or could not be reached.
    """

    def __init__(
        self,
        chosen: chooser.Chooser,
        failures: failure_memory.FailureMemory,
        budgets: repeat_budgets.RepeatBudgets,
        crashes: crash_watch.CrashWatch,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        """Creates attempts.

        Args:
            chosen: Chooses endpoints.
            failures: Notes failures of endpoints.
            budgets: Limits repeats.
            crashes: Keeps requests away that crash endpoints.
            metrics: Counts attempts.
        """
        self._chooser = chosen
        self._failures = failures
        self._budgets = budgets
        self._crashes = crashes
        self._metrics = metrics

    async def run(
        self,
        request: admitted.AdmittedRequest,
        attempt: Callable[[endpoint.Endpoint], Awaitable[ResultT]],
    ) -> ResultT:
        """Tries endpoints.

        Args:
            request: The request.
            attempt: Sends it to an endpoint; raises endpoint errors.

        Raises:
            errors.NotRunError: If none ran it.
            errors.OutcomeUnknownError: If one may have run it.
        """
        budget = self._budgets.count_request(request.service.name)
        tried: set[ids.EndpointId] = set()
        runs = 0
        # Endpoints that got the request; only these count as repeats.
        arrivals = 0
        while True:
            chosen = self._choose(request, tried, runs)
            if arrivals and not budget.take():
                raise _given_up(runs, "the budget of repeats is used up")
            tried.add(chosen.endpoint_id)
            try:
                with self._crashes.seated(request, chosen, runs > 0):
                    return await self._try(request, chosen, attempt)
            except endpoint_errors.EndpointBrokenError as error:
                runs += 1
                arrivals += 1
                self._crashes.note_broken(request, chosen)
                if not self._may_run_again(request, runs):
                    raise errors.OutcomeUnknownError(error.message) from error
                await self._crashes.wait_checked(request, chosen)
            except endpoint_errors.EndpointError as error:
                arrivals += _has_arrived(error)
                if len(tried) - runs > _MAX_REFUSALS:
                    raise _given_up(runs, error.message) from error

    def _choose(
        self,
        request: admitted.AdmittedRequest,
        tried: set[ids.EndpointId],
        runs: int,
    ) -> endpoint.Endpoint:
        avoided = self._crashes.places_to_avoid(request, runs > 0)
        try:
            self._crashes.refuse_quarantined(request)
            if avoided - tried:
                return self._choose_apart(request, tried, avoided)
            return self._chooser.choose(request, tried)
        except errors.NotRunError as error:
            if runs:
                raise errors.OutcomeUnknownError(error.message) from error
            raise

    def _choose_apart(
        self,
        request: admitted.AdmittedRequest,
        tried: set[ids.EndpointId],
        avoided: frozenset[ids.EndpointId],
    ) -> endpoint.Endpoint:
        try:
            return self._chooser.choose(request, tried | avoided)
        except errors.NotRunError:
            return self._chooser.choose(request, tried)

    async def _try(
        self,
        request: admitted.AdmittedRequest,
        chosen: endpoint.Endpoint,
        attempt: Callable[[endpoint.Endpoint], Awaitable[ResultT]],
    ) -> ResultT:
        try:
            result = await attempt(chosen)
        except endpoint_errors.EndpointError as error:
            self._failures.failed(chosen.endpoint_id)
            self._metrics.count_attempt(error.code)
            logger.info(
                "attempt.failed",
                request=request.request.request_id,
                endpoint=chosen.endpoint_id,
                code=error.code,
                reason=error.message,
            )
            raise
        self._failures.succeeded(chosen.endpoint_id)
        self._metrics.count_attempt(_ANSWERED)
        return result

    def _may_run_again(
        self, request: admitted.AdmittedRequest, runs: int
    ) -> bool:
        if request.route.kind is not kind.RequestKind.IDEMPOTENT:
            return False
        return runs < request.route.max_attempts and request.left_s > 0


def _given_up(runs: int, reason: str) -> errors.ForwardingError:
    if runs:
        return errors.OutcomeUnknownError(reason)
    return errors.NotRunError(reason, retry_after_s=_RETRY_AFTER_S)


@functools.singledispatch
def _has_arrived(_: endpoint_errors.EndpointError) -> bool:
    """Tells whether an endpoint got the request before it failed."""
    return True


@_has_arrived.register
def _(_: endpoint_errors.EndpointUnreachableError) -> bool:
    return False
