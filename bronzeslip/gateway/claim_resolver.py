"""Resolution of the outcome of a claimed call."""

import asyncio
import random

from bronzeslip.claims import claim as claims
from bronzeslip.claims import result_keeper
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import call_response
from bronzeslip.gateway import errors
from bronzeslip.transport.frames import call as frames

_RETRY_AFTER_S = 1.0
_SETTLE_ATTEMPTS = 4
_SETTLE_BACKOFF_S = 0.2


class ClaimResolver:
    """Resolves a call from its claim or by querying the claim's sidecar."""

    def __init__(
        self,
        dispatcher: call_dispatcher.CallDispatcher,
        result_writer: result_keeper.ResultWriter,
    ) -> None:
        self._dispatcher = dispatcher
        self._result_writer = result_writer

    async def resolve(
        self, held_claim: claims.StoredClaim, request_sha256: str
    ) -> call_response.CallResponse | None:
        """Resolves the outcome of another attempt.

        Returns:
            The response, or None if the call was not run and never will be.

        Raises:
            errors.KeyReusedError: If the key belongs to another request.
            errors.InProgressError: If the call is running or may still reach
                the sidecar.
            errors.AlreadyRunError: If its response was too large to store.
            errors.OutcomeUnknownError: If the outcome cannot be determined.
        """
        if held_claim.claim.request_sha256 != request_sha256:
            raise errors.KeyReusedError(
                "the idempotency key was already used for another request"
            )
        if held_claim.claim.result is not None:
            return call_response.from_kept_result(held_claim.claim.result)
        outcome = await self._dispatcher.query(held_claim.claim, settle=False)
        if isinstance(outcome, frames.CallFinished):
            self._result_writer.schedule(held_claim, outcome)
            return call_response.from_finished(outcome, replayed=True)
        if isinstance(outcome, frames.CallRefused):
            return None
        if isinstance(outcome, frames.CallPending):
            raise errors.InProgressError(
                "an earlier attempt with this idempotency key is in progress",
                retry_after_s=_RETRY_AFTER_S,
            )
        raise outcome_unknown_error()

    async def settle(self, claim: claims.Claim) -> frames.CallOutcome:
        """Determines the outcome of a call whose connection was lost.

        If the call has not reached the sidecar yet, the sidecar refuses it
        from then on.
        """
        for _ in range(_SETTLE_ATTEMPTS):
            outcome = await self._dispatcher.query(claim, settle=True)
            if outcome is not None:
                return outcome
            await asyncio.sleep(_SETTLE_BACKOFF_S * random.uniform(0.5, 1.5))
        return frames.CallOutcomeUnknown(claim.call_id)


def outcome_unknown_error() -> errors.OutcomeUnknownError:
    """Returns the error for a call that may or may not have been run."""
    return errors.OutcomeUnknownError(
        "the call may have been run; it will not be run again",
        retry_after_s=_RETRY_AFTER_S,
    )
