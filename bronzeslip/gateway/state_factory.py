"""Creation of the state that the HTTP handlers of a gateway share."""

import random

from bronzeslip.admission import workspace_limiter
from bronzeslip.claims import result_keeper
from bronzeslip.claims import store as claim_store
from bronzeslip.configuration import store
from bronzeslip.gateway import access_control
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import state
from bronzeslip.membership import endpoint_subset
from bronzeslip.metrics import gateway_metrics
from bronzeslip.routing import prefix_load
from bronzeslip.routing import retry_budgets
from bronzeslip.routing import router
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import gateway
from bronzeslip.spread import service
from bronzeslip.spread import status_collector
from bronzeslip.store import client


def create(
    settings: gateway.GatewaySettings,
    platform: client.PlatformClient,
    replication: service.ReplicationService,
    metrics: gateway_metrics.GatewayMetrics,
) -> state.GatewayState:
    """Creates the components of a gateway."""
    metrics.track_configuration_number(replication.configuration)
    peers = peer_pool.PeerPool(settings)
    endpoint_router = router.Router(
        endpoint_subset.EndpointSubset(settings, replication.members),
        peers,
        prefix_load.PrefixLoadPolicy(settings, random.Random()),
    )
    claims = claim_store.ClaimStore(platform)
    suspects = suspect_list.SuspectList(settings)
    return state.GatewayState(
        settings=settings,
        configuration=replication.configuration,
        configuration_store=store.ConfigurationStore(platform),
        members=replication.members,
        peers=peers,
        router=endpoint_router,
        resume_token_signer=resume_token.ResumeTokenSigner(settings),
        access_control=access_control.AccessControl(
            settings, replication.configuration, metrics
        ),
        status_collector=status_collector.StatusCollector(
            settings,
            replication.aggregator,
            replication.members,
            replication.configuration,
        ),
        metrics=metrics,
        claims=claims,
        result_writer=result_keeper.ResultWriter(settings, claims),
        retry_budgets=retry_budgets.RetryBudgets(settings, random.Random()),
        limiter=workspace_limiter.WorkspaceLimiter(replication.members),
        suspects=suspects,
        suspect_publisher=suspect_publisher.SuspectPublisher(
            settings,
            platform,
            lambda: {
                gateway_member.vm_id
                for gateway_member in replication.members.gateways()
            },
            suspects,
        ),
    )
