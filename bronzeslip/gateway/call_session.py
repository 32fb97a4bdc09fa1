"""Call of a plain service whose requests are idempotent."""

from bronzeslip import ids
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import call_response
from bronzeslip.gateway import errors
from bronzeslip.routing import retry_plan
from bronzeslip.transport.frames import call as frames

_RETRY_AFTER_S = 1.0


class CallSession:
    """Dispatches a call to one endpoint after another until one responds."""

    def __init__(
        self,
        dispatcher: call_dispatcher.CallDispatcher,
        retries: retry_plan.RetryPlan,
    ) -> None:
        self._dispatcher = dispatcher
        self._retries = retries
        self._may_have_run = False
        self._retry_after_s = _RETRY_AFTER_S

    async def run(self) -> call_response.CallResponse:
        """Runs the call on an endpoint.

        Raises:
            errors.NotRunError: If no endpoint accepted it.
            errors.OutcomeUnknownError: If it may have been run.
        """
        for option in self._dispatcher.candidates():
            if not await self._retries.admit():
                break
            call_id = ids.CallId(ids.random_id())
            outcome = await self._dispatcher.start(option.endpoint, call_id)
            if isinstance(outcome, frames.CallFinished):
                return call_response.from_finished(outcome)
            self._record(outcome)
        raise self._build_error()

    def _record(self, outcome: frames.CallOutcome | None) -> None:
        if isinstance(outcome, frames.CallRefused):
            self._retry_after_s = outcome.retry_after_s or _RETRY_AFTER_S
        else:
            self._may_have_run = True

    def _build_error(self) -> errors.GatewayError:
        if self._may_have_run:
            return errors.OutcomeUnknownError(
                "the call may have been run", retry_after_s=self._retry_after_s
            )
        return errors.NotRunError(
            "no endpoint accepted the call", retry_after_s=self._retry_after_s
        )
