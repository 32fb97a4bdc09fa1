"""One caller's call of a plain service."""

import msgspec

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import errors as routing_errors
from bronzeslip.routing import policy
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from bronzeslip.transport import codec
from bronzeslip.transport import errors as transport_errors
from bronzeslip.transport.frames import call as frames

_RETRY_AFTER_S = 1.0


class CallInput(msgspec.Struct, frozen=True):
    """The HTTP request that the caller sent.

    Attributes:
        method: HTTP method.
        path: Path below the service, with its query.
        headers: Headers to pass on.
        body: Body to pass on.
    """

    method: str
    path: str
    headers: tuple[frames.Header, ...]
    body: bytes


class CallSession:
    """Dispatches a call of a plain service."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        routes: router.Router,
        peers: peer_pool.PeerPool,
        context: request_context.RequestContext,
        wanted: CallInput,
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._peers = peers
        self._context = context
        self._wanted = wanted

    async def run(self) -> frames.CallFinished:
        """Runs the call on an endpoint.

        Raises:
            errors.NotRunError: If no endpoint took it.
            errors.OutcomeUnknownError: If it may have been run.
        """
        for option in self._candidates():
            frame = await self._try(option.endpoint)
            if isinstance(frame, frames.CallFinished):
                return frame
            if isinstance(frame, frames.CallRefused):
                continue
            if not self._context.service.idempotent:
                raise errors.OutcomeUnknownError("the call may have been run")
        raise errors.NotRunError(
            "no endpoint took the call", retry_after_s=_RETRY_AFTER_S
        )

    def _candidates(self) -> list[candidate.Candidate]:
        request = policy.RoutingRequest(
            self._context.workspace_id,
            self._context.service_name,
            "",
            self._settings.region,
        )
        try:
            options = self._routes.candidates(self._context.binding, request)
        except routing_errors.RoutingError as error:
            raise errors.NotRunError(
                error.message, retry_after_s=error.retry_after_s
            ) from error
        return options[: self._settings.dispatch_attempts]

    async def _try(self, endpoint: member.Member) -> codec.Frame:
        call_id = ids.CallId(ids.random_id())
        opened = self._peers.peer(endpoint.address)
        arrived = opened.open(call_id)
        self._context.record.dispatched(endpoint.endpoint_id, call_id=call_id)
        self._routes.begin(endpoint.endpoint_id)
        opened.connection.send(self._start_frame(call_id))
        try:
            return await arrived.get()
        except transport_errors.TransportError:
            return frames.CallOutcomeUnknown(call_id)
        finally:
            opened.close(call_id)
            self._routes.end(endpoint.endpoint_id)

    def _start_frame(self, call_id: ids.CallId) -> frames.StartCall:
        return frames.StartCall(
            call_id,
            self._context.request_id,
            self._context.workspace_id,
            self._context.service_name,
            self._wanted.method,
            self._wanted.path,
            self._wanted.headers,
            self._wanted.body,
            self._context.service.idempotent,
            self._context.remaining_s(),
        )
