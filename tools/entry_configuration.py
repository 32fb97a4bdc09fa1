"""Configuration, discovery entries and headers for trials on entry VMs."""

from typing import Any

API_KEY = "key-of-w"
HOST = "h.example"
CALLS_PATH = "/calls/"
READS_PATH = "/reads/"
STREAMS_PATH = "/streams/"
SERVICE_BY_PATH = {
    CALLS_PATH: "desk",
    READS_PATH: "desk",
    STREAMS_PATH: "engine",
}
# Paths of routes that are restricted to the region of this name.
REGIONAL_PATH_BY_REGION = {"a": "/only-a/", "b": "/only-b/"}
REGION_BY_ZONE = {"a-1": "a", "b-1": "b"}
MAX_BODY_BYTES = 4 * 1024 * 1024
# Time after which a leaving endpoint must receive no new requests.
DRAIN_S = 2.5
# Time after which nothing may be sent to an evacuated failure domain.
EVACUATION_S = 5.0
# Time for which an endpoint that has started is cold, and the requests per
# second of all gateways that it then sustains.
COLD_S = 1.0
COLD_PER_S = 4.0
COLD_FACTOR = 1.5
COLD_SLACK = 5

_DEADLINE_MS = 15_000


def configuration(version: int, *more_routes: Any) -> dict[str, Any]:
    """Returns a configuration with a route for each kind of request."""
    return {
        "version": version,
        "routes": [
            _route("calls", CALLS_PATH, "non_idempotent", "desk"),
            _route("reads", READS_PATH, "idempotent", "desk"),
            _route("streams", STREAMS_PATH, "streaming", "engine"),
            *more_routes,
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 100},
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 24, "kv_capacity": 30_000},
            },
        ],
        "limits": {
            "max_header_bytes": 8_000,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "w", "api_keys": [API_KEY]}],
    }


def new_route(name: str) -> dict[str, Any]:
    """Returns an additional route for calls whose path is its name."""
    return _route(name, f"/{name}/", "non_idempotent", "desk")


def regional_configuration(version: int, *more_routes: Any) -> dict[str, Any]:
    """Returns a configuration with regional routes and cold limits of calls."""
    routes = [
        {
            **_route(f"only-{region}", path, "non_idempotent", "desk"),
            "allowed_regions": [region],
        }
        for region, path in REGIONAL_PATH_BY_REGION.items()
    ]
    document = configuration(version, *routes, *more_routes)
    document["services"][0] |= {
        "cold_s": COLD_S,
        "cold_per_s": COLD_PER_S,
    }
    return document


def discovery_entry(
    service: str,
    port: int,
    state: str,
    start_number: int,
    zone: str = "a-1",
    cold_left_s: float = 0.0,
) -> dict[str, Any]:
    """Returns the discovery entry of an endpoint.

    Args:
        service: Service of the endpoint.
        port: Port on the loopback address.
        state: State, as spelled in the entry.
        start_number: Sequence number of the endpoint's current start.
        zone: Failure domain of the endpoint.
        cold_left_s: Time for which the endpoint stays cold, in seconds.
    """
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 24,
        "state": state,
        "cold_left_ms": round(cold_left_s * 1000),
        "seq": 1,
        "born": start_number,
    }


def headers(request_id: str, *shared_parts: str) -> dict[str, str]:
    """Returns the headers of a request.

    Args:
        request_id: Id of the request.
        *shared_parts: Ids of the parts that its prompt shares with others. If
            there are any, the request states its prompt, with a last part of
            its own.
    """
    fields = {
        "Host": HOST,
        "Bronzeslip-Attempt-Id": request_id,
        "Bronzeslip-Key": API_KEY,
        "Bronzeslip-Deadline-Ms": str(_DEADLINE_MS),
    }
    if not shared_parts:
        return fields
    parts = [f"{part}:100" for part in (*shared_parts, request_id)]
    return {
        **fields,
        "Bronzeslip-Model": "m",
        "Bronzeslip-Token-Usage": f"{100 * len(parts)},40",
        "Bronzeslip-Prompt-Prefix": ",".join(parts),
    }


def _route(
    name: str, path_prefix: str, kind: str, service: str
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": _DEADLINE_MS,
        "goal_ms": 1_000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }
