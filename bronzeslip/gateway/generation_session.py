"""One caller's generation, from dispatch to its end."""

from collections.abc import AsyncIterator
import contextlib

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import workspace
from bronzeslip.gateway import errors
from bronzeslip.gateway import inbox
from bronzeslip.gateway import peer as gateway_peer
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
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0
_PRIORITIES = {
    workspace.WorkspaceClass.INTERACTIVE: 2,
    workspace.WorkspaceClass.DRAFT: 1,
    workspace.WorkspaceClass.BATCH: 0,
}


class GenerationInput(msgspec.Struct, frozen=True):
    """What the caller wants generated.

    Attributes:
        model: Model named.
        prompt: Prompt as text.
        max_tokens: Most tokens to produce.
    """

    model: str
    prompt: str
    max_tokens: int


class GenerationSession:
    """Dispatches a generation and relays its tokens in order."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        routes: router.Router,
        peers: peer_pool.PeerPool,
        context: request_context.RequestContext,
        wanted: GenerationInput,
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._peers = peers
        self._context = context
        self._wanted = wanted
        self._peer: gateway_peer.Peer | None = None
        self._inbox: inbox.Inbox | None = None
        self._next_index = 0
        self._endpoint: member.Member | None = None
        self.generation_id = ids.GenerationId("")
        self.finished: frames.GenerationFinished | None = None

    async def start(self) -> None:
        """Finds an endpoint that takes the generation.

        Raises:
            errors.NotRunError: If no endpoint took it.
        """
        retry_after_s = _RETRY_AFTER_S
        for option in self._candidates():
            refusal = await self._try(option.endpoint)
            if refusal is None:
                return
            retry_after_s = refusal.retry_after_s or retry_after_s
        raise errors.NotRunError(
            "no endpoint took the request", retry_after_s=retry_after_s
        )

    async def batches(self) -> AsyncIterator[frames.Tokens]:
        """Yields the tokens, each once and in order.

        Raises:
            errors.IncompleteError: If the generation was lost.
        """
        while self.finished is None:
            frame = await self._receive()
            if isinstance(frame, frames.Tokens):
                if frame.first_index != self._next_index:
                    raise errors.IncompleteError("tokens are missing")
                self._next_index += len(frame.texts)
                yield frame
                self._acknowledge()
            elif isinstance(frame, frames.GenerationFinished):
                self.finished = frame
            else:
                raise errors.IncompleteError("the generation was lost")

    async def close(self) -> None:
        """Gives the generation up if it has not finished."""
        if self._peer is None:
            return
        if self.finished is None:
            self._peer.connection.send(
                frames.CancelGeneration(self.generation_id)
            )
        self._leave()

    def _candidates(self) -> list[candidate.Candidate]:
        request = policy.RoutingRequest(
            self._context.workspace_id,
            self._context.service_name,
            self._wanted.prompt,
            self._settings.region,
        )
        try:
            options = self._routes.candidates(self._context.binding, request)
        except routing_errors.RoutingError as error:
            raise errors.NotRunError(
                error.message, retry_after_s=error.retry_after_s
            ) from error
        return options[: self._settings.dispatch_attempts]

    async def _try(
        self, endpoint: member.Member
    ) -> frames.GenerationRefused | None:
        self._enter(endpoint)
        self._peer.connection.send(self._start_frame())
        try:
            frame = await self._inbox.get()
        except transport_errors.TransportError:
            frame = frames.GenerationRefused(
                self.generation_id,
                reason.RefusalReason.ENDPOINT_DOWN,
                _RETRY_AFTER_S,
            )
        except BaseException:
            await self.close()
            raise
        if isinstance(frame, frames.GenerationAccepted):
            return None
        self._leave()
        if isinstance(frame, frames.GenerationRefused):
            return frame
        raise errors.NotRunError(
            "the endpoint failed", retry_after_s=_RETRY_AFTER_S
        )

    def _enter(self, endpoint: member.Member) -> None:
        self.generation_id = ids.GenerationId(ids.random_id())
        self._endpoint = endpoint
        self._peer = self._peers.peer(endpoint.address)
        self._inbox = self._peer.open(self.generation_id)
        self._routes.begin(endpoint.endpoint_id)

    def _leave(self) -> None:
        self._peer.close(self.generation_id)
        self._peer = None
        self._routes.end(self._endpoint.endpoint_id)

    def _start_frame(self) -> frames.StartGeneration:
        return frames.StartGeneration(
            self.generation_id,
            self._context.request_id,
            self._context.workspace_id,
            self._context.service_name,
            self._wanted.model,
            self._wanted.prompt,
            self._wanted.max_tokens,
            _PRIORITIES[self._context.workspace.workspace_class],
            self._context.workspace.weight,
            self._context.remaining_s(),
        )

    async def _receive(self) -> codec.Frame:
        try:
            return await self._inbox.get()
        except transport_errors.TransportError as error:
            raise errors.IncompleteError("the connection was lost") from error

    def _acknowledge(self) -> None:
        self._peer.connection.send(
            frames.AcknowledgeTokens(self.generation_id, self._next_index)
        )


@contextlib.asynccontextmanager
async def opened(
    session: GenerationSession,
) -> AsyncIterator[GenerationSession]:
    """Starts a session and closes it at the end."""
    await session.start()
    try:
        yield session
    finally:
        await session.close()
