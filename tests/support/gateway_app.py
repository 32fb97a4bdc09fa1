"""Gateway application that runs inside the test process."""

import httpx

from bronzeslip.gateway import app
from bronzeslip.gateway import state_factory
from bronzeslip.membership import member
from bronzeslip.metrics import gateway_metrics
from bronzeslip.settings import gateway
from bronzeslip.spread import service
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


def create_state(platform=None, **changes):
    if platform is None:
        _, platform = in_process.create_platform_and_client()
    settings = create_settings(**changes)
    replication = service.ReplicationService(
        settings, member.MemberRole.GATEWAY, platform
    )
    gateway_state = state_factory.create(
        settings, platform, replication, gateway_metrics.GatewayMetrics()
    )
    gateway_state.ready = True
    return gateway_state


def create_transport(gateway_state):
    return httpx.ASGITransport(app.create(gateway_state))
