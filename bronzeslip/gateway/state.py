"""State that the HTTP handlers of a gateway share."""

import dataclasses

from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import permit
from bronzeslip.admission import workspace_limiter
from bronzeslip.claims import claim
from bronzeslip.claims import result_keeper
from bronzeslip.claims import store as claim_store
from bronzeslip.configuration import in_force
from bronzeslip.configuration import store
from bronzeslip.gateway import access_control
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import call_request
from bronzeslip.gateway import call_session
from bronzeslip.gateway import claimed_call_session
from bronzeslip.gateway import crash_history
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.membership import directory
from bronzeslip.metrics import gateway_metrics
from bronzeslip.routing import fingerprint
from bronzeslip.routing import retry_budgets
from bronzeslip.routing import retry_plan
from bronzeslip.routing import router
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import gateway
from bronzeslip.spread import status_collector


@dataclasses.dataclass
class GatewayState:
    """Components of a gateway.

    Attributes:
        settings: Settings of the process.
        configuration: Active configuration.
        configuration_store: Stores the configuration at the platform.
        members: Known members.
        peers: Connections to sidecars.
        router: Selects endpoints.
        access_control: Checks credentials.
        resume_token_signer: Signs resume tokens.
        status_collector: Collects the active configuration numbers of all
            processes.
        metrics: Metrics of the process.
        claims: Stores claims of idempotency keys.
        result_writer: Writes responses to their claims.
        retry_budgets: Retry budgets.
        limiter: Enforces the limits of workspaces.
        suspects: Requests that were running when an endpoint crashed.
        suspect_publisher: Publishes suspects to other gateways.
        ready: Whether new requests are accepted.
    """

    settings: gateway.GatewaySettings
    configuration: in_force.ActiveConfiguration
    configuration_store: store.ConfigurationStore
    members: directory.MemberDirectory
    peers: peer_pool.PeerPool
    router: router.Router
    access_control: access_control.AccessControl
    resume_token_signer: resume_token.ResumeTokenSigner
    status_collector: status_collector.StatusCollector
    metrics: gateway_metrics.GatewayMetrics
    claims: claim_store.ClaimStore
    result_writer: result_keeper.ResultWriter
    retry_budgets: retry_budgets.RetryBudgets
    limiter: workspace_limiter.WorkspaceLimiter
    suspects: suspect_list.SuspectList
    suspect_publisher: suspect_publisher.SuspectPublisher
    ready: bool = False

    def create_generation_session(
        self,
        context: request_context.RequestContext,
        generation: generation_input.GenerationInput,
    ) -> generation_session.GenerationSession:
        """Creates the session of a generation."""
        return generation_session.GenerationSession(
            self.settings,
            self.router,
            self.peers,
            self.members,
            self.resume_token_signer,
            context,
            generation,
            self._retry_plan(context),
            self._crash_history(context, generation),
        )

    def acquire_permit(
        self, context: request_context.RequestContext
    ) -> permit.Permit:
        """Counts a request as in flight until the permit is released.

        Raises:
            errors.LimitExceededError: If the workspace has reached a limit.
        """
        try:
            return self.limiter.acquire(context.workspace_id, context.workspace)
        except admission_errors.WorkspaceLimitedError as error:
            raise errors.LimitExceededError(
                error.message, retry_after_s=error.retry_after_s
            ) from error

    def create_call_session(
        self,
        context: request_context.RequestContext,
        call: call_request.CallRequest,
    ) -> call_session.CallSession:
        """Creates the session of an idempotent call."""
        return call_session.CallSession(
            self._dispatcher(context, call), self._retry_plan(context)
        )

    def create_claimed_call_session(
        self,
        context: request_context.RequestContext,
        call: call_request.CallRequest,
        idempotency_key: str,
    ) -> claimed_call_session.ClaimedCallSession:
        """Creates the session of a call that is run at most once."""
        return claimed_call_session.ClaimedCallSession(
            self.claims,
            self.result_writer,
            self._dispatcher(context, call),
            self._retry_plan(context),
            claim.key_of(
                context.workspace_id, context.service_name, idempotency_key
            ),
            claim.request_digest(call.method, call.path, call.body),
        )

    def _retry_plan(
        self, context: request_context.RequestContext
    ) -> retry_plan.RetryPlan:
        return self.retry_budgets.plan(
            context.service_name, context.service, context.deadline_s
        )

    def _crash_history(
        self,
        context: request_context.RequestContext,
        generation: generation_input.GenerationInput,
    ) -> crash_history.CrashHistory:
        return crash_history.CrashHistory(
            self.suspects,
            self.suspect_publisher,
            fingerprint.of_request(
                context.workspace_id, generation.model, generation.prompt
            ),
        )

    def _dispatcher(
        self,
        context: request_context.RequestContext,
        call: call_request.CallRequest,
    ) -> call_dispatcher.CallDispatcher:
        return call_dispatcher.CallDispatcher(
            self.settings, self.router, self.peers, context, call
        )
