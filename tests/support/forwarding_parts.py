"""Components of a forwarding gateway, with test data for them."""

import asyncio
import random
import types

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report
from bronzeslip.entry import suspect_list_settings
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import prompt
from bronzeslip.memory import budget
from bronzeslip.memory import reservation
from bronzeslip.metrics import entry_metrics
from bronzeslip.places import cold_limits
from bronzeslip.places import cold_shares
from bronzeslip.quota import cold_permits
from bronzeslip.quota import endpoint_permits
from bronzeslip.quota import peer
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_request
from bronzeslip.quota import standing
from bronzeslip.routes import current
from bronzeslip.routes import engine_traits
from bronzeslip.routes import kind
from bronzeslip.routes import limits
from bronzeslip.routes import route
from bronzeslip.routes import route_table
from bronzeslip.routes import service
from bronzeslip.routes import workspace
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import entry

MEMORY_TOKENS = 30_000
ENGINE_TRAITS = engine_traits.EngineTraits(
    slots=24,
    memory_tokens=MEMORY_TOKENS,
    token_bytes=1000,
    link_mbps=1000.0,
    can_move=True,
    copy_lifetime_s=5.0,
)
ENGINE_SERVICE = service.Service(
    ids.ServiceName("pool"), "/health", 100, ENGINE_TRAITS
)
CALL_SERVICE = service.Service(ids.ServiceName("desk"), "/health", 100)
API_KEY = "key-of-w"
SETTINGS = entry.EntrySettings(lapse_grace_s=0.05)
VM_CONFIG = vm_config.VmConfig(
    vm_id=ids.VmId("front-1"),
    failure_domain=ids.FailureDomainName("a-1"),
    regions={
        ids.FailureDomainName("a-1"): ids.RegionName("a"),
        ids.FailureDomainName("a-2"): ids.RegionName("a"),
        ids.FailureDomainName("b-1"): ids.RegionName("b"),
    },
    caller_address=vm_config.SocketAddress("127.0.0.1", 0),
    readiness_address=vm_config.SocketAddress("127.0.0.1", 0),
    store_address=vm_config.SocketAddress("127.0.0.1", 1),
    peer_address=vm_config.SocketAddress("127.0.0.1", 2),
    bounds=vm_config.PlaceBounds(8.0, 0.2, 50.0, 10.0, 2.5),
)


def create_memory(limit_bytes=512_000_000, resident_bytes=0):
    return budget.create(limit_bytes, resident_bytes)


def create_response_memory():
    return reservation.Reservation(create_memory().responses)


def create_endpoint(name, domain="a-1", service_name="pool", **changes):
    values = {
        "endpoint_id": ids.EndpointId(name),
        "service_name": ids.ServiceName(service_name),
        "host": "10.0.0.1",
        "port": 1000 + sum(name.encode()),
        "failure_domain": ids.FailureDomainName(domain),
        "slots": 24,
        "state": endpoint.EndpointState.READY,
    }
    return endpoint.Endpoint(**{**values, **changes})


def create_report(used_tokens=0, waiting=0, running=0, **changes):
    return report.EngineReport(
        waiting, running, used_tokens, MEMORY_TOKENS, **changes
    )


def create_route(request_kind, **changes):
    values = {
        "name": ids.RouteName("r"),
        "host": "h.example",
        "path_prefix": "/p/",
        "kind": request_kind,
        "timeout_s": 5.0,
        "objective_s": 1.0,
        "priority": 0,
        "services": (route.WeightedService(CALL_SERVICE.name),),
        "max_attempts": 2,
    }
    return route.Route(**{**values, **changes})


def create_table(*routes, version=1, workspace_regions=None):
    return route_table.RouteTable(
        ids.TableVersion(version),
        routes,
        (ENGINE_SERVICE, CALL_SERVICE),
        (
            workspace.KeyedWorkspace(
                ids.WorkspaceId("w"),
                (API_KEY,),
                permitted_regions=workspace_regions,
            ),
        ),
        limits.CallerLimits(),
    )


def create_request(**changes):
    values = {
        "request_id": ids.RequestId("q1"),
        "method": "POST",
        "target": b"/p/x",
        "host": "h.example",
        "path": "/p/x",
        "headers": (),
        "body": b"body",
        "key": API_KEY,
        "arrived_s": asyncio.get_running_loop().time(),
    }
    return incoming.IncomingRequest(**{**values, **changes})


def create_dispatch(target, request_id):
    """Returns a request that is about to be sent to an endpoint."""
    request = create_request(request_id=ids.RequestId(request_id))
    return dispatch.Dispatch(request, target, remaining_s=2.0)


def create_generation_request(**changes):
    """Returns a request for a long generation."""
    shape = prompt.PromptShape("m", 3000, 2000, 1000)
    return create_request(shape=shape, **changes)


def admit(
    request,
    request_kind,
    target_service=CALL_SERVICE,
    permitted_regions=None,
    **route_changes,
):
    matched_route = create_route(request_kind, **route_changes)
    return admitted.AdmittedRequest(
        request=request,
        route=matched_route,
        service=target_service,
        workspace_id=ids.WorkspaceId("w"),
        configuration=ids.TableVersion(1),
        priority=0,
        deadline_s=request.arrived_s + matched_route.timeout_s,
        permitted_regions=permitted_regions,
    )


def admit_generation(**route_changes):
    return admit(
        create_generation_request(),
        kind.RequestKind.STREAM,
        ENGINE_SERVICE,
        **route_changes,
    )


def create_permit_request():
    """Returns the request of a gateway for a permit."""
    return permit_request.PermitRequest(
        endpoint_id=ids.EndpointId("i-1"),
        address="10.0.0.1:1000",
        started_unix_ms=1,
        rate_per_s=2.0,
        statement_age_s=0.0,
        reserved=0.0,
        is_fallback=False,
        sender=create_peer("front-1"),
    )


def create_peer(vm_id):
    """Returns a gateway as other gateways reach it."""
    address = vm_config.SocketAddress(f"{vm_id}.example", 7200)
    return peer.Peer(ids.VmId(vm_id), address)


def create_single_gateway():
    """Returns the registry of a gateway that is the only one."""
    own = peer.Peer(VM_CONFIG.vm_id, VM_CONFIG.peer_address)
    return types.SimpleNamespace(
        count=1,
        is_known=True,
        share_of=lambda total: total,
        ranked=lambda key, count=2: (own,),
        standing_for=lambda key, is_fallback: standing.Standing.FULL,
        refresh_soon=lambda: None,
    )


def create_components(client, endpoints=(), settings=SETTINGS, suspects=None):
    """Creates the components of a gateway that knows all endpoints.

    Args:
        client: Client for the endpoints.
        endpoints: The endpoints.
        settings: Settings of the gateway.
        suspects: List of suspect requests; a new empty one if None.
    """
    endpoint_directory = directory.EndpointDirectory(settings)
    endpoint_directory.replace_all(endpoints)
    current_table = current.CurrentTable()
    suspect_settings = suspect_list_settings.SuspectListSettings(
        VM_CONFIG.vm_id, settings.suspect_ttl_s
    )
    suspects = suspects or suspect_list.SuspectList(suspect_settings)
    gateways = create_single_gateway()
    (own,) = gateways.ranked("")
    caller = peer_caller.PeerCaller(
        own,
        permit_coordinator.PermitCoordinator(endpoint_directory, gateways),
        None,
    )
    permits = endpoint_permits.EndpointPermits(
        endpoint_directory, gateways, caller
    )
    components = assembly.create_components(
        settings,
        VM_CONFIG,
        current_table,
        endpoint_directory,
        client,
        suspects,
        suspect_publisher.SuspectPublisher(
            suspect_settings, None, set, suspects
        ),
        entry_metrics.EntryMetrics(current_table, endpoint_directory),
        gateways,
        permits,
        cold_limits.ColdLimits(
            endpoint_directory.cold_endpoints,
            cold_shares.ColdShares(VM_CONFIG.bounds, gateways),
            cold_permits.ColdPermits(gateways, caller),
        ),
        random.Random(1),
    )
    # The gateway has been running for some time, so its slack is complete.
    components.retry_budgets._started_s -= 60.0
    return components
