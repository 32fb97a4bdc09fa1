"""What the HTTP handlers of a gateway share."""

import dataclasses

from bronzeslip.configuration import in_force
from bronzeslip.configuration import store
from bronzeslip.gateway import access
from bronzeslip.gateway import call_session
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.membership import directory
from bronzeslip.metrics import gateway_metrics
from bronzeslip.routing import router
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
        ready: Whether new requests are taken.
    """

    settings: gateway.GatewaySettings
    configuration: in_force.ConfigurationInForce
    store: store.ConfigurationStore
    members: directory.MemberDirectory
    peers: peer_pool.PeerPool
    routes: router.Router
    access: access.Access
    resume_tokens: resume_token.ResumeTokenSigner
    status: status_collector.StatusCollector
    metrics: gateway_metrics.GatewayMetrics
    ready: bool = False

    def generation(
        self,
        context: request_context.RequestContext,
        wanted: generation_session.GenerationInput,
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
        )

    def call(
        self,
        context: request_context.RequestContext,
        wanted: call_session.CallInput,
    ) -> call_session.CallSession:
        """Creates the session of a call."""
        return call_session.CallSession(
            self.settings, self.routes, self.peers, context, wanted
        )
