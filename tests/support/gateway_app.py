"""A gateway's application inside the test's own process."""

import random

import httpx

from bronzeslip.configuration import in_force
from bronzeslip.configuration import store
from bronzeslip.gateway import access
from bronzeslip.gateway import app
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import state
from bronzeslip.membership import directory
from bronzeslip.routing import least_outstanding
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from tests.support import in_process
from tools import declarations

URL = "http://gateway"


def create_settings(**changes):
    values = {
        "vm_id": "entry-0",
        "region": "brum",
        "failure_domain": "brum-1",
        "peer_key": "trial-peer-key",
        "platform_url": "http://platform",
        "operator_credentials_sha256": (
            declarations.digest_of(declarations.OPERATOR_CREDENTIAL),
        ),
    }
    return gateway.GatewaySettings(**{**values, **changes})


def create_parts(platform=None, **changes):
    settings = create_settings(**changes)
    if platform is None:
        _, platform = in_process.platform_pair()
    configuration = in_force.ConfigurationInForce()
    members = directory.MemberDirectory()
    peers = peer_pool.PeerPool(settings)
    return state.GatewayState(
        settings=settings,
        configuration=configuration,
        store=store.ConfigurationStore(platform),
        members=members,
        peers=peers,
        routes=router.Router(
            members,
            peers,
            least_outstanding.LeastOutstandingPolicy(random.Random(1)),
        ),
        access=access.Access(settings, configuration),
        ready=True,
    )


def create_transport(parts):
    return httpx.ASGITransport(app.create(parts))
