"""Frame exchanges with sidecars for one call."""

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.gateway import call_request
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


class CallDispatcher:
    """Selects endpoints for a call and exchanges frames with their sidecars."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        endpoint_router: router.Router,
        peers: peer_pool.PeerPool,
        context: request_context.RequestContext,
        call: call_request.CallRequest,
    ) -> None:
        self._settings = settings
        self._router = endpoint_router
        self._peers = peers
        self._context = context
        self._call = call

    def candidates(self) -> list[candidate.Candidate]:
        """Returns the endpoints to try, best first.

        Raises:
            errors.NotRunError: If no endpoint is available.
        """
        request = policy.RoutingRequest(
            self._context.workspace_id,
            self._context.service_name,
            "",
            self._settings.region,
        )
        try:
            candidates = self._router.candidates(self._context.binding, request)
        except routing_errors.RoutingError as error:
            raise errors.NotRunError(
                error.message, retry_after_s=error.retry_after_s
            ) from error
        return candidates[: self._settings.dispatch_attempts]

    async def prepare(
        self, endpoint: member.Member, call_id: ids.CallId
    ) -> frames.CallPrepared | None:
        """Requests a dispatch ticket; returns None if none is issued."""
        frame = await self._exchange(
            endpoint.address, call_id, frames.PrepareCall(call_id)
        )
        return frame if isinstance(frame, frames.CallPrepared) else None

    async def start(
        self,
        endpoint: member.Member,
        call_id: ids.CallId,
        ticket: frames.DispatchTicket | None = None,
    ) -> frames.CallOutcome | None:
        """Dispatches the call; returns None if the connection was lost."""
        self._context.record.dispatched(endpoint.endpoint_id, call_id=call_id)
        self._router.record_start(endpoint.endpoint_id)
        try:
            return await self._exchange(
                endpoint.address,
                call_id,
                self._create_start_frame(call_id, ticket),
            )
        finally:
            self._router.record_end(endpoint.endpoint_id)

    async def query(
        self, claim: claims.Claim, *, settle: bool
    ) -> frames.CallOutcome | frames.CallPending | None:
        """Queries a claimed call; returns None if the connection was lost."""
        query_id = ids.CallId(ids.random_id())
        report = await self._exchange(
            claim.address,
            query_id,
            frames.QueryCall(query_id, claim.call_id, claim.ticket, settle),
        )
        return None if report is None else report.outcome

    async def _exchange(
        self, address: str, exchange_id: ids.CallId, frame: codec.Frame
    ) -> codec.Frame | None:
        peer = self._peers.get(address)
        inbox = peer.open_inbox(exchange_id)
        peer.connection.send(frame)
        try:
            return await inbox.get()
        except transport_errors.TransportError:
            return None
        finally:
            peer.close_inbox(exchange_id)

    def _create_start_frame(
        self, call_id: ids.CallId, ticket: frames.DispatchTicket | None
    ) -> frames.StartCall:
        return frames.StartCall(
            call_id,
            self._context.request_id,
            self._context.workspace_id,
            self._context.service_name,
            self._call.method,
            self._call.path,
            self._call.headers,
            self._call.body,
            self._context.service.idempotent,
            self._context.remaining_s(),
            ticket,
        )
