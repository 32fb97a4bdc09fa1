"""One caller's generation, from dispatch to its end."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import remote_generation
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import session_failures
from bronzeslip.gateway import session_options
from bronzeslip.gateway import start_frame
from bronzeslip.gateway import suspicion
from bronzeslip.generation import errors as generation_errors
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import errors as routing_errors
from bronzeslip.routing import retry_plan
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import generation as frames

logger = logs.get_logger(__name__)


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
        self._options = session_options.SessionOptions(
            settings, routes, peers, context, wanted, suspected
        )
        self._remote: remote_generation.RemoteGeneration | None = None
        self._failures = session_failures.SessionFailures(context)
        self._delivered = False
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
        if self._failures.is_pool_busy:
            await self._suspicion.admit()
            self._max_queue_wait_s = None
            if await self._try(self._ranked()[0].endpoint):
                return
        await self._suspicion.admit()
        raise self._failures.error("no endpoint took the request")

    async def resume(self, token: resume_token.ResumeToken) -> None:
        """Reads on where the caller of another connection stopped.

        Raises:
            errors.GenerationGoneError: If the generation is no longer kept.
        """
        endpoint = self._members.endpoint(token.run.endpoint_id)
        if endpoint is None:
            raise errors.GenerationGoneError("the endpoint has gone")
        self._failures.has_run = True
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
            self._routes.record_end(self.endpoint_id)
            self._remote = None

    def _ranked(self) -> list[candidate.Candidate]:
        with self._converted_errors():
            return self._options.ranked()

    def _candidates(self) -> list[candidate.Candidate]:
        with self._converted_errors():
            return self._options.candidates()

    @contextlib.contextmanager
    def _converted_errors(self) -> Iterator[None]:
        try:
            yield
        except routing_errors.RoutingError as error:
            self._failures.retry_after_s = (
                error.retry_after_s or session_failures.RETRY_AFTER_S
            )
            raise self._failures.error(error.message) from error

    async def _try(self, endpoint: member.Member) -> bool:
        self._enter(endpoint)
        try:
            await self._remote.wait_accepted()
        except generation_errors.GenerationError as error:
            self.record.turned_away()
            self.close()
            self._note_crash(error)
            self._failures.note(error)
            return False
        except BaseException:
            self.close()
            raise
        self.record.started()
        self._failures.has_run = True
        return True

    def _enter(self, endpoint: member.Member) -> None:
        self._options.note_tried(endpoint)
        self._bind(endpoint, ids.GenerationId(ids.random_id()), 0)
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
        self._routes.record_start(endpoint.endpoint_id)

    def _resolve_timeout_s(self) -> float:
        if self._context.service.idempotent:
            return self._settings.peer_silence_timeout_s
        return self._settings.resume_timeout_s

    def _start_frame(
        self, incarnation_id: ids.IncarnationId
    ) -> frames.StartGeneration:
        return start_frame.create(
            self._context,
            self._wanted,
            self.generation_id,
            incarnation_id,
            self._max_queue_wait_s,
            self._suspicion.is_suspect,
        )

    async def _receive(
        self, may_rerun: bool
    ) -> remote_generation.Progress | None:
        try:
            progress = await self._remote.receive()
        except generation_errors.GenerationError as error:
            self._note_crash(error)
            if not may_rerun:
                raise self._failures.error(error.message) from error
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
        self._failures.check_may_rerun(error)
        await self.start()
