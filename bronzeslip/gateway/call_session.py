"""One caller's call of a plain service that may be repeated."""

from bronzeslip import ids
from bronzeslip.gateway import call_answer
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import errors
from bronzeslip.transport.frames import call as frames

_RETRY_AFTER_S = 1.0


class CallSession:
    """Dispatches a call until an endpoint has answered it."""

    def __init__(self, dispatcher: call_dispatcher.CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def run(self) -> call_answer.CallAnswer:
        """Runs the call on an endpoint.

        Raises:
            errors.NotRunError: If no endpoint took it.
            errors.OutcomeUnknownError: If it may have been run.
        """
        refused_only = True
        for option in self._dispatcher.candidates():
            call_id = ids.CallId(ids.random_id())
            outcome = await self._dispatcher.start(option.endpoint, call_id)
            if isinstance(outcome, frames.CallFinished):
                return call_answer.from_finished(outcome)
            if not isinstance(outcome, frames.CallRefused):
                refused_only = False
        if refused_only:
            raise errors.NotRunError(
                "no endpoint took the call", retry_after_s=_RETRY_AFTER_S
            )
        raise errors.OutcomeUnknownError(
            "the call may have been run", retry_after_s=_RETRY_AFTER_S
        )
