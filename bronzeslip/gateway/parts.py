"""Assembly of what the HTTP handlers of a gateway share."""

import random

from bronzeslip.configuration import store
from bronzeslip.gateway import access
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import state
from bronzeslip.platform import client
from bronzeslip.routing import least_outstanding
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from bronzeslip.spread import service
from bronzeslip.spread import status_collector


def create(
    settings: gateway.GatewaySettings,
    platform: client.PlatformClient,
    spread: service.SpreadService,
) -> state.GatewayState:
    """Creates the parts of a gateway."""
    peers = peer_pool.PeerPool(settings)
    routes = router.Router(
        spread.members,
        peers,
        least_outstanding.LeastOutstandingPolicy(random.Random()),
    )
    return state.GatewayState(
        settings=settings,
        configuration=spread.configuration,
        store=store.ConfigurationStore(platform),
        members=spread.members,
        peers=peers,
        routes=routes,
        access=access.Access(settings, spread.configuration),
        status=status_collector.StatusCollector(
            settings, spread.board, spread.members, spread.configuration
        ),
    )
