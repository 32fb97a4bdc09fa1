"""Dispatch of one generation request and relay of its tokens."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.gateway import crash_history
from bronzeslip.gateway import endpoint_selector
from bronzeslip.gateway import errors
from bronzeslip.gateway import failure_tracker
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import remote_generation
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import start_frame
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

    The request is run again on another endpoint only if the service is
    idempotent and no token has been sent to the caller.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        endpoint_router: router.Router,
        peers: peer_pool.PeerPool,
        members: directory.MemberDirectory,
        token_signer: resume_token.ResumeTokenSigner,
        context: request_context.RequestContext,
        generation: generation_input.GenerationInput,
        retries: retry_plan.RetryPlan,
        crashes: crash_history.CrashHistory,
    ) -> None:
        self.finished: frames.GenerationFinished | None = None
        self.record = context.record
        self._settings = settings
        self._router = endpoint_router
        self._peers = peers
        self._members = members
        self._token_signer = token_signer
        self._context = context
        self._generation = generation
        self._retries = retries
        self._crash_history = crashes
        self._selector = endpoint_selector.EndpointSelector(
            settings, endpoint_router, peers, context, generation, crashes
        )
        self._remote: remote_generation.RemoteGeneration | None = None
        self._failures = failure_tracker.FailureTracker(context)
        self._tokens_delivered = False
        self._max_queue_wait_s: float | None = None

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self._context.request_id

    @property
    def generation_id(self) -> ids.GenerationId:
        """Id of the current generation."""
        return self._remote.generation_id

    @property
    def endpoint_id(self) -> ids.EndpointId:
        """Id of the endpoint that runs the generation."""
        return self._remote.endpoint.endpoint_id

    async def start(self) -> None:
        """Dispatches the generation to an endpoint that accepts it.

        At first, an endpoint with a long expected queue wait refuses the
        request as busy. If one did and none accepted the request, the best
        endpoint is tried again without a limit on the wait.

        Raises:
            errors.NotRunError: If no endpoint accepted it; it was not run.
            errors.OutcomeUnknownError: If an endpoint may have run it.
            errors.IncompleteResponseError: If it started to run but was lost.
            errors.QuarantinedError: If endpoints crashed while running it.
        """
        self._max_queue_wait_s = self._settings.quick_queue_wait_s
        for option in self._candidates():
            await self._crash_history.check_not_quarantined()
            if not await self._retries.admit():
                break
            if await self._try_endpoint(option.endpoint):
                return
        if self._failures.is_pool_busy:
            await self._crash_history.check_not_quarantined()
            self._max_queue_wait_s = None
            if await self._try_endpoint(self._ranked_endpoints()[0].endpoint):
                return
        await self._crash_history.check_not_quarantined()
        raise self._failures.build_error("no endpoint accepted the request")

    async def resume(self, token: resume_token.ResumeToken) -> None:
        """Resumes a generation at the position of a resume token.

        Raises:
            errors.GenerationGoneError: If the generation is not available
                anymore.
        """
        endpoint = self._members.endpoint(token.run.endpoint_id)
        if endpoint is None:
            raise errors.GenerationGoneError(
                "the endpoint that ran the generation no longer exists"
            )
        self._failures.has_started = True
        self._tokens_delivered = True
        self._create_remote(endpoint, token.run.generation_id, token.next_index)
        self._remote.resume()
        try:
            await self._remote.wait_accepted()
        except generation_errors.GenerationError as error:
            self.close()
            raise errors.GenerationGoneError(error.message) from error
        except BaseException:
            self.close()
            raise

    def resume_token_series(self) -> resume_token.ResumeTokenSeries:
        """Returns the resume tokens of the current generation by index."""
        return self._token_signer.series(
            self._context.workspace_id,
            resume_token.ResumableRun(
                self.endpoint_id,
                self.generation_id,
                self._context.request_id,
            ),
        )

    async def token_batches(self) -> AsyncIterator[frames.Tokens]:
        """Yields the generated tokens in batches, each token once and in order.

        Raises:
            errors.IncompleteResponseError: If the generation was lost.
        """
        while self.finished is None:
            progress = await self._receive(may_rerun=not self._tokens_delivered)
            if isinstance(progress, frames.Tokens):
                self._tokens_delivered = True
                self.record.tokens_received(len(progress.texts))
                yield progress
                self._remote.acknowledge()

    async def collect(self) -> list[str]:
        """Returns the texts of all tokens of the complete generation.

        A generation that is lost before it completes is run again if the
        service is idempotent.

        Raises:
            errors.IncompleteResponseError: If no endpoint completed it.
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
        """Stops relaying; cancels the generation if it has not finished."""
        if self._remote is not None:
            self._remote.close()
            self.record.relay_ended(
                self._remote.resume_count, self._remote.duplicate_tokens
            )
            self._router.record_end(self.endpoint_id)
            self._remote = None

    def _ranked_endpoints(self) -> list[candidate.Candidate]:
        with self._converting_routing_errors():
            return self._selector.ranked()

    def _candidates(self) -> list[candidate.Candidate]:
        with self._converting_routing_errors():
            return self._selector.candidates()

    @contextlib.contextmanager
    def _converting_routing_errors(self) -> Iterator[None]:
        try:
            yield
        except routing_errors.RoutingError as error:
            self._failures.retry_after_s = (
                error.retry_after_s or failure_tracker.RETRY_AFTER_S
            )
            raise self._failures.build_error(error.message) from error

    async def _try_endpoint(self, endpoint: member.Member) -> bool:
        self._dispatch(endpoint)
        try:
            await self._remote.wait_accepted()
        except generation_errors.GenerationError as error:
            self.record.endpoint_rejected()
            self.close()
            self._record_crash(error)
            self._failures.record(error)
            return False
        except BaseException:
            self.close()
            raise
        self.record.endpoint_accepted()
        self._failures.has_started = True
        return True

    def _dispatch(self, endpoint: member.Member) -> None:
        self._selector.record_attempt(endpoint)
        self._create_remote(endpoint, ids.GenerationId(ids.random_id()), 0)
        self._remote.begin(
            self._create_start_frame, self._acceptance_timeout_s()
        )

    def _create_remote(
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
        self._router.record_start(endpoint.endpoint_id)

    def _acceptance_timeout_s(self) -> float:
        if self._context.service.idempotent:
            return self._settings.peer_silence_timeout_s
        return self._settings.resume_timeout_s

    def _create_start_frame(
        self, incarnation_id: ids.IncarnationId
    ) -> frames.StartGeneration:
        return start_frame.create(
            self._context,
            self._generation,
            self.generation_id,
            incarnation_id,
            self._max_queue_wait_s,
            self._crash_history.is_suspect,
        )

    async def _receive(
        self, may_rerun: bool
    ) -> remote_generation.Progress | None:
        try:
            progress = await self._remote.receive()
        except generation_errors.GenerationError as error:
            self._record_crash(error)
            if not may_rerun:
                raise self._failures.build_error(error.message) from error
            await self._rerun(error)
            return None
        if isinstance(progress, frames.GenerationFinished):
            self.finished = progress
            self._crash_history.record_success()
        return progress

    def _record_crash(self, error: generation_errors.GenerationError) -> None:
        if isinstance(error, generation_errors.GenerationLostError):
            self._crash_history.record_crash(error.crash_id)

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
