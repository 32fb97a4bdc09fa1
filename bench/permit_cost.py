"""Measures the cost of a permit from another gateway over loopback."""

import argparse
import asyncio
import time
import types

import litestar
import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import peer_http
from bronzeslip.entry import permits_api
from bronzeslip.entry import vm_config
from bronzeslip.http import server
from bronzeslip.quota import peer
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_request
from bronzeslip.quota import standing
from bronzeslip.settings import entry
from bronzeslip.settings import http

_SETTINGS = entry.EntrySettings()
_ENDPOINT = endpoint.Endpoint(
    endpoint_id=ids.EndpointId("i-1"),
    service_name=ids.ServiceName("desk"),
    host="127.0.0.1",
    port=1,
    failure_domain=ids.FailureDomainName("a-1"),
    slots=6,
    state=endpoint.EndpointState.READY,
)


def main() -> None:
    """Runs the measurement and prints the costs."""
    parser = argparse.ArgumentParser(prog="permit_cost")
    parser.add_argument("--calls", type=int, default=2_000)
    flags = parser.parse_args()
    asyncio.run(_measure(flags.calls))


async def _measure(call_count: int) -> None:
    endpoints = directory.EndpointDirectory(_SETTINGS)
    endpoints.replace_all([_ENDPOINT])
    coordinator = permit_coordinator.PermitCoordinator(
        endpoints,
        types.SimpleNamespace(
            standing_for=lambda key, is_fallback: standing.Standing.FULL
        ),
    )
    request = permit_request.PermitRequest(
        _ENDPOINT.endpoint_id,
        _ENDPOINT.address,
        _ENDPOINT.started_unix_ms,
        rate_per_s=2.0,
        statement_age_s=0.0,
        reserved=0.0,
        is_fallback=False,
        sender=peer.Peer(
            ids.VmId("front-2"), vm_config.SocketAddress("127.0.0.1", 1)
        ),
    )
    started_s = time.process_time()
    for _ in range(call_count):
        coordinator.decide(request)
    decision_s = time.process_time() - started_s
    peer_server = server.HttpServer(
        litestar.Litestar(
            [permits_api.handler(coordinator)],
            openapi_config=None,
            logging_config=None,
        ),
        http.HttpSettings(),
    )
    peer_server.start()
    target = peer.Peer(
        ids.VmId("front-1"),
        vm_config.SocketAddress("127.0.0.1", peer_server.port),
    )
    client = peer_http.HttpPeerClient(_SETTINGS)
    await client.ask(target, request)
    started_s = time.process_time()
    elapsed_from_s = time.perf_counter()
    for _ in range(call_count):
        await client.ask(target, request)
    call_s = time.process_time() - started_s
    elapsed_s = time.perf_counter() - elapsed_from_s
    await peer_server.abort()
    print(f"decision: {decision_s / call_count * 1e6:.1f} us")
    print(
        f"call, both sides: {call_s / call_count * 1e6:.0f} us of processor "
        f"time, {elapsed_s / call_count * 1e6:.0f} us elapsed, request of "
        f"{len(msgspec.json.encode(request))} bytes"
    )


if __name__ == "__main__":
    main()
