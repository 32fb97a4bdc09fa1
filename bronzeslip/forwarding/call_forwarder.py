"""Forwards calls, whose answers are passed on whole."""

import asyncio

from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import reply
from bronzeslip.forwarding import whole_answer
from bronzeslip.routes import kind

_SERVER_ERROR_STATUS = 500
# Share of the time left after which an unanswered repeatable call goes to
# another endpoint, so that a second one still has time to answer.
_FIRST_TRY_SHARE = 0.5


class CallForwarder:
    """Forwards calls to plain services."""

    def __init__(self, shared: parts.ForwardingParts) -> None:
        self._parts = shared

    async def forward(
        self, request: admitted.AdmittedRequest, to_caller: reply.Reply
    ) -> None:
        """Forwards a call and passes its answer on.

        Raises:
            errors.ForwardingError: If there is no answer to pass on.
        """
        call = _Call(self._parts, request)
        try:
            whole = await self._parts.attempts.run(request, call.try_at)
        except errors.ForwardingError:
            # An endpoint's own failure tells the caller more than ours.
            if call.failure is None:
                raise
            whole = call.failure
        await whole_answer.pass_on(whole, to_caller)


class _Call:
    """One call and the failure that an endpoint has answered it with."""

    def __init__(
        self,
        shared: parts.ForwardingParts,
        request: admitted.AdmittedRequest,
    ) -> None:
        self._parts = shared
        self._request = request
        self._tries = 0
        self.failure: whole_answer.WholeAnswer | None = None

    async def try_at(
        self, chosen: endpoint.Endpoint
    ) -> whole_answer.WholeAnswer:
        """Sends the call to an endpoint and reads its whole answer."""
        self.failure = None
        self._tries += 1
        with self._parts.own.track(chosen.endpoint_id):
            try:
                async with asyncio.timeout(self._try_time_s()):
                    whole = await self._exchange(chosen)
            except TimeoutError as error:
                raise endpoint_errors.EndpointBrokenError(
                    "no answer in time"
                ) from error
        if whole.head.status >= _SERVER_ERROR_STATUS and self._is_idempotent:
            self.failure = whole
            raise endpoint_errors.EndpointBrokenError(
                f"status {whole.head.status}"
            )
        return whole

    @property
    def _is_idempotent(self) -> bool:
        return self._request.route.kind is kind.RequestKind.IDEMPOTENT

    def _try_time_s(self) -> float | None:
        """Returns the time for a try that another one may follow."""
        if not self._is_idempotent:
            return None
        if self._tries >= self._request.route.max_attempts:
            return None
        return max(self._request.left_s * _FIRST_TRY_SHARE, 0)

    async def _exchange(
        self, chosen: endpoint.Endpoint
    ) -> whole_answer.WholeAnswer:
        sent = dispatch.Dispatch(
            request=self._request.request,
            endpoint=chosen,
            left_s=self._request.left_s,
            workspace_id=self._request.workspace_id,
        )
        answer = await self._parts.client.send(sent)
        await refuse_unless_run(answer)
        return await whole_answer.read(answer)


async def refuse_unless_run(answer: endpoint_client.EndpointAnswer) -> None:
    """Raises if an answer says that the request has not run.

    Raises:
        endpoint_errors.EndpointRefusedError: If it has not run.
    """
    if answer.verdict is endpoint_client.RunVerdict.MAY_HAVE_RUN:
        return
    await answer.close()
    raise endpoint_errors.EndpointRefusedError(
        f"status {answer.head.status}, {answer.verdict.value}"
    )
