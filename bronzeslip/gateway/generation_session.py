"""One caller's generation, from dispatch to its end."""

from collections.abc import AsyncIterator
import functools

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.admission import priorities
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import remote_generation
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import suspicion
from bronzeslip.generation import errors as generation_errors
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import errors as routing_errors
from bronzeslip.routing import policy
from bronzeslip.routing import retry_plan
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0


class GenerationSession:
    """Dispatches a generation and relays its tokens in order.

    Another generation is started for the same request only while no token
    has reached the caller and the service is idempotent.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        routes: router.Router,
        peers: peer_pool.PeerPool,
        members: directory.MemberDirectory,
        resume_tokens: resume_token.ResumeTokenSigner,
        context: request_context.RequestContext,
        wanted: generation_input.GenerationInput,
        retries: retry_plan.RetryPlan,
        suspected: suspicion.Suspicion,
    ) -> None:
        self.finished: frames.GenerationFinished | None = None
        self.record = context.record
        self._settings = settings
        self._routes = routes
        self._peers = peers
        self._members = members
        self._resume_tokens = resume_tokens
        self._context = context
        self._wanted = wanted
        self._retries = retries
        self._suspicion = suspected
        self._remote: remote_generation.RemoteGeneration | None = None
        self._tried: set[ids.EndpointId] = set()
        self._retry_after_s = _RETRY_AFTER_S
        self._has_run = False
        self._delivered = False
        self._is_unresolved = False
        self._is_pool_busy = False
        self._max_queue_wait_s: float | None = None

    @property
    def request_id(self) -> ids.RequestId:
        """Request that is served."""
        return self._context.request_id

    @property
    def generation_id(self) -> ids.GenerationId:
        """Generation that is relayed."""
        return self._remote.generation_id

    @property
    def endpoint_id(self) -> ids.EndpointId:
        """Endpoint that runs the generation."""
        return self._remote.endpoint.endpoint_id

    async def start(self) -> None:
        """Finds an endpoint that takes the generation.

        Raises:
            errors.NotRunError: If none took it; it was not run.
            errors.OutcomeUnknownError: If one may have run it.
            errors.IncompleteError: If one ran it and lost it.
            errors.QuarantinedError: If it has crashed endpoints.
        """
        self._max_queue_wait_s = self._settings.quick_queue_wait_s
        for option in self._candidates():
            await self._suspicion.admit()
            if not await self._retries.admit():
                break
            if await self._try(option.endpoint):
                return
        if self._is_pool_busy:
            await self._suspicion.admit()
            self._max_queue_wait_s = None
            if await self._try(self._ranked()[0].endpoint):
                return
        await self._suspicion.admit()
        raise self._failure("no endpoint took the request")

    async def resume(self, token: resume_token.ResumeToken) -> None:
        """Reads on where the caller of another connection stopped.

        Raises:
            errors.GenerationGoneError: If the generation is no longer kept.
        """
        endpoint = self._members.endpoint(token.run.endpoint_id)
        if endpoint is None:
            raise errors.GenerationGoneError("the endpoint has gone")
        self._has_run = True
        self._delivered = True
        self._bind(endpoint, token.run.generation_id, token.next_index)
        self._remote.resume()
        try:
            await self._remote.wait_accepted()
        except generation_errors.GenerationError as error:
            self.close()
            raise errors.GenerationGoneError(error.message) from error
        except BaseException:
            self.close()
            raise

    def resume_tokens(self) -> resume_token.ResumeTokenSeries:
        """Returns the tokens that resume the generation relayed now."""
        return self._resume_tokens.series(
            self._context.workspace_id,
            resume_token.ResumableRun(
                self.endpoint_id,
                self.generation_id,
                self._context.request_id,
            ),
        )

    async def batches(self) -> AsyncIterator[frames.Tokens]:
        """Yields the tokens, each once and in order.

        Raises:
            errors.IncompleteError: If the generation was lost.
        """
        while self.finished is None:
            progress = await self._receive(may_rerun=not self._delivered)
            if isinstance(progress, frames.Tokens):
                self._delivered = True
                self.record.tokens(len(progress.texts))
                yield progress
                self._remote.acknowledge()

    async def collect(self) -> list[str]:
        """Returns the tokens of the whole answer.

        A generation that is lost midway is replaced by another one.

        Raises:
            errors.IncompleteError: If no endpoint came to the end.
        """
        texts: list[str] = []
        while self.finished is None:
            progress = await self._receive(may_rerun=True)
            if progress is None:
                texts.clear()
            elif isinstance(progress, frames.Tokens):
                texts.extend(progress.texts)
                self._remote.acknowledge()
        return texts

    def close(self) -> None:
        """Gives the generation up if it has not finished."""
        if self._remote is not None:
            self._remote.close()
            self.record.relayed(
                self._remote.resume_count, self._remote.duplicate_tokens
            )
            self._routes.end(self.endpoint_id)
            self._remote = None

    def _routing_request(self) -> policy.RoutingRequest:
        return policy.RoutingRequest(
            self._context.workspace_id,
            self._context.service_name,
            self._wanted.prompt,
            self._settings.region,
        )

    def _ranked(self) -> list[candidate.Candidate]:
        try:
            return self._routes.candidates(
                self._context.binding, self._routing_request()
            )
        except routing_errors.RoutingError as error:
            self._retry_after_s = error.retry_after_s or _RETRY_AFTER_S
            raise self._failure(error.message) from error

    def _candidates(self) -> list[candidate.Candidate]:
        options = self._ranked()
        fresh = [
            option
            for option in options
            if option.endpoint.endpoint_id not in self._tried
        ]
        if self._suspicion.is_suspect:
            fresh.sort(key=_work_of)
        return sorted(
            fresh or options,
            key=lambda option: self._peers.is_failing(option.endpoint.address),
        )

    async def _try(self, endpoint: member.Member) -> bool:
        self._enter(endpoint)
        try:
            await self._remote.wait_accepted()
        except generation_errors.GenerationError as error:
            self.record.turned_away()
            self.close()
            self._note_crash(error)
            self._note_failure(error)
            return False
        except BaseException:
            self.close()
            raise
        self.record.started()
        self._has_run = True
        return True

    def _enter(self, endpoint: member.Member) -> None:
        self._tried.add(endpoint.endpoint_id)
        self._bind(endpoint, ids.GenerationId(ids.random_id()), 0)
        self._routes.accepted(self._routing_request(), endpoint.endpoint_id)
        self._remote.begin(self._start_frame, self._resolve_timeout_s())

    def _bind(
        self,
        endpoint: member.Member,
        generation_id: ids.GenerationId,
        next_index: int,
    ) -> None:
        self._remote = remote_generation.RemoteGeneration(
            self._settings,
            self._peers,
            self._members,
            endpoint,
            generation_id,
            self._context.workspace_id,
            self._context.deadline_s,
            next_index,
        )
        self.record.dispatched(
            endpoint.endpoint_id, generation_id=self.generation_id
        )
        self._routes.begin(endpoint.endpoint_id)

    def _resolve_timeout_s(self) -> float:
        if self._context.service.idempotent:
            return self._settings.peer_silence_timeout_s
        return self._settings.resume_timeout_s

    def _start_frame(
        self, incarnation_id: ids.IncarnationId
    ) -> frames.StartGeneration:
        return frames.StartGeneration(
            self.generation_id,
            self._context.request_id,
            self._context.workspace_id,
            self._context.service_name,
            self._wanted.model,
            self._wanted.prompt,
            self._wanted.max_tokens,
            priorities.priority_of(self._context.workspace.workspace_class),
            self._context.workspace.weight,
            self._context.remaining_s(),
            incarnation_id,
            self._context.workspace.workspace_class,
            self._max_queue_wait_s,
            self._suspicion.is_suspect,
        )

    @functools.singledispatchmethod
    def _note_failure(self, error: generation_errors.GenerationError) -> None:
        self._is_unresolved = True
        self._check_may_rerun(error)

    @_note_failure.register
    def _(self, error: generation_errors.GenerationRefusedError) -> None:
        if error.refusal is reason.RefusalReason.BUSY:
            self._is_pool_busy = True
        self._retry_after_s = error.retry_after_s or _RETRY_AFTER_S

    @_note_failure.register
    def _(self, error: generation_errors.GenerationLostError) -> None:
        self._has_run = True
        self._check_may_rerun(error)

    def _check_may_rerun(
        self, error: generation_errors.GenerationError
    ) -> None:
        expired = isinstance(error, generation_errors.DeadlineError)
        if expired or not self._context.service.idempotent:
            raise self._failure(error.message) from error

    def _failure(self, text: str) -> errors.GatewayError:
        kind = errors.NotRunError
        if self._is_unresolved:
            kind = errors.OutcomeUnknownError
        if self._has_run:
            kind = errors.IncompleteError
        return kind(text, retry_after_s=self._retry_after_s)

    async def _receive(
        self, may_rerun: bool
    ) -> remote_generation.Progress | None:
        try:
            progress = await self._remote.receive()
        except generation_errors.GenerationError as error:
            self._note_crash(error)
            if not may_rerun:
                raise self._failure(error.message) from error
            await self._rerun(error)
            return None
        if isinstance(progress, frames.GenerationFinished):
            self.finished = progress
            self._suspicion.note_finished()
        return progress

    def _note_crash(self, error: generation_errors.GenerationError) -> None:
        if isinstance(error, generation_errors.GenerationLostError):
            self._suspicion.note_crash(error.crash_id)

    async def _rerun(self, error: generation_errors.GenerationError) -> None:
        logger.warning(
            "generation.lost",
            request_id=self._context.request_id,
            generation_id=self.generation_id,
            endpoint_id=self.endpoint_id,
            reason=error.message,
        )
        self.close()
        self._check_may_rerun(error)
        await self.start()


def _work_of(option: candidate.Candidate) -> int:
    return option.outstanding + option.load.running + option.load.queued
