"""What the HTTP handlers of a gateway share."""

import dataclasses

from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import permit
from bronzeslip.admission import workspace_limiter
from bronzeslip.claims import claim
from bronzeslip.claims import result_keeper
from bronzeslip.claims import store as claim_store
from bronzeslip.configuration import in_force
from bronzeslip.configuration import store
from bronzeslip.gateway import access
from bronzeslip.gateway import call_dispatcher
from bronzeslip.gateway import call_input
from bronzeslip.gateway import call_session
from bronzeslip.gateway import claimed_call_session
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import suspicion
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
    """Parts of a gateway.

    Attributes:
        settings: Settings of the process.
        configuration: Configuration in force.
        store: Configuration kept by the platform.
        members: Known members.
        peers: Connections to sidecars.
        routes: Choice of endpoints.
        access: Checks of credentials.
        resume_tokens: Signer of resume tokens.
        status: Collects what is in force everywhere.
        metrics: Metrics of the process.
        claims: Claims of idempotency keys.
        results: Keeps answers with their claims.
        retries: Budgets of retries.
        limiter: Limits of workspaces.
        suspects: Requests that were running at crashes.
        suspect_publisher: Tells other gateways of them.
        ready: Whether new requests are taken.
    """

    settings: gateway.GatewaySettings
    configuration: in_force.ActiveConfiguration
    store: store.ConfigurationStore
    members: directory.MemberDirectory
    peers: peer_pool.PeerPool
    routes: router.Router
    access: access.Access
    resume_tokens: resume_token.ResumeTokenSigner
    status: status_collector.StatusCollector
    metrics: gateway_metrics.GatewayMetrics
    claims: claim_store.ClaimStore
    results: result_keeper.ResultKeeper
    retries: retry_budgets.RetryBudgets
    limiter: workspace_limiter.WorkspaceLimiter
    suspects: suspect_list.SuspectList
    suspect_publisher: suspect_publisher.SuspectPublisher
    ready: bool = False

    def generation(
        self,
        context: request_context.RequestContext,
        wanted: generation_input.GenerationInput,
    ) -> generation_session.GenerationSession:
        """Creates the session of a generation."""
        return generation_session.GenerationSession(
            self.settings,
            self.routes,
            self.peers,
            self.members,
            self.resume_tokens,
            context,
            wanted,
            self._retry_plan(context),
            self._suspicion(context, wanted),
        )

    def enter(self, context: request_context.RequestContext) -> permit.Permit:
        """Counts a request against its workspace's limits.

        Raises:
            errors.LimitedError: If the workspace is at its limit.
        """
        try:
            return self.limiter.enter(context.workspace_id, context.workspace)
        except admission_errors.WorkspaceLimitedError as error:
            raise errors.LimitedError(
                error.message, retry_after_s=error.retry_after_s
            ) from error

    def call(
        self,
        context: request_context.RequestContext,
        wanted: call_input.CallInput,
    ) -> call_session.CallSession:
        """Creates the session of a call that may be repeated."""
        return call_session.CallSession(
            self._dispatcher(context, wanted), self._retry_plan(context)
        )

    def claimed_call(
        self,
        context: request_context.RequestContext,
        wanted: call_input.CallInput,
        idempotency_key: str,
    ) -> claimed_call_session.ClaimedCallSession:
        """Creates the session of a call that may not be repeated."""
        return claimed_call_session.ClaimedCallSession(
            self.claims,
            self.results,
            self._dispatcher(context, wanted),
            self._retry_plan(context),
            claim.key_of(
                context.workspace_id, context.service_name, idempotency_key
            ),
            claim.request_digest(wanted.method, wanted.path, wanted.body),
        )

    def _retry_plan(
        self, context: request_context.RequestContext
    ) -> retry_plan.RetryPlan:
        return self.retries.plan(
            context.service_name, context.service, context.deadline_s
        )

    def _suspicion(
        self,
        context: request_context.RequestContext,
        wanted: generation_input.GenerationInput,
    ) -> suspicion.Suspicion:
        return suspicion.Suspicion(
            self.suspects,
            self.suspect_publisher,
            fingerprint.of_request(
                context.workspace_id, wanted.model, wanted.prompt
            ),
        )

    def _dispatcher(
        self,
        context: request_context.RequestContext,
        wanted: call_input.CallInput,
    ) -> call_dispatcher.CallDispatcher:
        return call_dispatcher.CallDispatcher(
            self.settings, self.routes, self.peers, context, wanted
        )
