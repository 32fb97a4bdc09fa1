"""Call of a plain service that is run at most once."""

import time

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors as claim_errors
from bronzeslip.claims import result_keeper
from bronzeslip.claims import store as claim_store
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import call_response
from bronzeslip.gateway import claim_resolver
from bronzeslip.gateway import errors
from bronzeslip.membership import member
from bronzeslip.routing import retry_plan
from bronzeslip.transport.frames import call as frames

_RETRY_AFTER_S = 1.0
_CLAIM_ATTEMPTS = 4


class ClaimedCallSession:
    """Claims the idempotency key of a call, then dispatches the call.

    Even if this session or its gateway fails, the call is dispatched only
    while the claim names this attempt. Another attempt replaces the claim only
    after the sidecar named in the claim has confirmed that the call was not
    run and never will be.
    """

    def __init__(
        self,
        store: claim_store.ClaimStore,
        result_writer: result_keeper.ResultWriter,
        dispatcher: call_dispatcher.CallDispatcher,
        retries: retry_plan.RetryPlan,
        key: ids.ObjectKey,
        request_sha256: str,
    ) -> None:
        """Creates the session of one request.

        Args:
            store: Stores claims at the platform.
            result_writer: Writes responses to their claims.
            dispatcher: Exchanges frames with sidecars.
            retries: Admits attempts at further endpoints.
            key: Platform key of the claim.
            request_sha256: Digest of the request.
        """
        self._store = store
        self._result_writer = result_writer
        self._dispatcher = dispatcher
        self._retries = retries
        self._resolver = claim_resolver.ClaimResolver(dispatcher, result_writer)
        self._key = key
        self._request_sha256 = request_sha256
        self._retry_after_s = _RETRY_AFTER_S

    async def run(self) -> call_response.CallResponse:
        """Runs the call or returns the result of an earlier attempt.

        Raises:
            errors.GatewayError: If there is no response; its type says
                whether the call was run.
        """
        held_claim: claims.StoredClaim | None = None
        for endpoint in self._endpoints():
            if not await self._retries.admit():
                break
            new_claim = await self._prepare(endpoint)
            if new_claim is None:
                continue
            acquired = await self._acquire_claim(held_claim, new_claim)
            if isinstance(acquired, call_response.CallResponse):
                return acquired
            held_claim = acquired
            outcome = await self._dispatch(endpoint, held_claim.claim)
            if isinstance(outcome, frames.CallFinished):
                self._result_writer.schedule(held_claim, outcome)
                return call_response.from_finished(outcome)
            if not isinstance(outcome, frames.CallRefused):
                raise claim_resolver.outcome_unknown_error()
            self._retry_after_s = outcome.retry_after_s or _RETRY_AFTER_S
        return await self._finish_unserved(held_claim)

    def _endpoints(self) -> list[member.Member]:
        try:
            return [option.endpoint for option in self._dispatcher.candidates()]
        except errors.NotRunError:
            return []

    async def _prepare(self, endpoint: member.Member) -> claims.Claim | None:
        call_id = ids.CallId(ids.random_id())
        prepared = await self._dispatcher.prepare(endpoint, call_id)
        if prepared is None:
            return None
        return claims.Claim(
            call_id,
            self._request_sha256,
            endpoint.address,
            prepared.ticket,
            int(time.time()),
        )

    async def _acquire_claim(
        self, held_claim: claims.StoredClaim | None, new_claim: claims.Claim
    ) -> claims.StoredClaim | call_response.CallResponse:
        try:
            for _ in range(_CLAIM_ATTEMPTS):
                try:
                    return await self._write_claim(held_claim, new_claim)
                except claim_errors.ClaimTakenError:
                    held_claim = await self._store.read(self._key)
                if held_claim is not None:
                    response = await self._resolver.resolve(
                        held_claim, self._request_sha256
                    )
                    if response is not None:
                        return response
        except claim_errors.ClaimError as error:
            raise errors.UnavailableError(
                f"this attempt was not run: {error.message}",
                retry_after_s=error.retry_after_s or _RETRY_AFTER_S,
            ) from error
        raise errors.InProgressError(
            "other attempts with this idempotency key are in progress",
            retry_after_s=_RETRY_AFTER_S,
        )

    async def _write_claim(
        self, held_claim: claims.StoredClaim | None, new_claim: claims.Claim
    ) -> claims.StoredClaim:
        if held_claim is None:
            return await self._store.create(self._key, new_claim)
        return await self._store.replace(held_claim, new_claim)

    async def _dispatch(
        self, endpoint: member.Member, claim: claims.Claim
    ) -> frames.CallOutcome:
        outcome = await self._dispatcher.start(
            endpoint, claim.call_id, claim.ticket
        )
        if outcome is None:
            outcome = await self._resolver.settle(claim)
        return outcome

    async def _finish_unserved(
        self, held_claim: claims.StoredClaim | None
    ) -> call_response.CallResponse:
        try:
            response = await self._release_claim(held_claim)
        except claim_errors.ClaimError as error:
            if held_claim is not None:
                raise claim_resolver.outcome_unknown_error() from error
            response = None
        if response is not None:
            return response
        raise errors.NotRunError(
            "no endpoint accepted the call", retry_after_s=self._retry_after_s
        )

    async def _release_claim(
        self, held_claim: claims.StoredClaim | None
    ) -> call_response.CallResponse | None:
        if held_claim is not None:
            try:
                await self._store.release(held_claim)
            except claim_errors.ClaimTakenError:
                return await self._resolve_current()
            return None
        return await self._resolve_current()

    async def _resolve_current(self) -> call_response.CallResponse | None:
        current = await self._store.read(self._key)
        if current is None:
            return None
        return await self._resolver.resolve(current, self._request_sha256)
