"""Decodes the configuration that operators write to the store."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import fields
from bronzeslip.decoding import untrusted
from bronzeslip.platform import errors
from bronzeslip.routes import engine_traits
from bronzeslip.routes import kind
from bronzeslip.routes import limits
from bronzeslip.routes import route
from bronzeslip.routes import route_table
from bronzeslip.routes import service
from bronzeslip.routes import workspace

PREFIX = "config/"
KEY = ids.ObjectKey(f"{PREFIX}main")

_MS_PER_S = 1000
_REQUEST_KINDS = {
    "idempotent": kind.RequestKind.IDEMPOTENT,
    "non_idempotent": kind.RequestKind.AT_MOST_ONCE,
    "streaming": kind.RequestKind.STREAM,
}


class _Share(msgspec.Struct):
    service: str
    weight: fields.NonNegativeQuantity


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: fields.Quantity
    goal_ms: fields.Quantity
    service: str | None = None
    split: list[_Share] = []
    priority: fields.Integer = 0
    max_attempts: fields.Integer = 1
    public: bool = False
    # True for generation routes, whose requests list their prompt parts.
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: fields.Quantity | None = None
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: fields.Count
    kv_capacity: fields.Count
    kv_token_bytes: fields.Count = 0
    link_mbps: fields.Quantity = 0.0
    moves: bool = False
    backups: bool = False
    handle_s: fields.Quantity = 0.0


class _Service(msgspec.Struct):
    name: str
    health_path: fields.UrlPath = "/health"
    max_conns: fields.Integer = 0
    cold_s: fields.NonNegativeQuantity = 0.0
    cold_per_s: fields.NonNegativeQuantity = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: fields.Count
    max_body_bytes: fields.Count
    header_timeout_ms: fields.PositiveQuantity
    idle_timeout_ms: fields.PositiveQuantity


class _Tenant(msgspec.Struct):
    name: fields.HeaderText
    api_keys: list[str] = []
    priority: fields.Integer | None = None
    allowed_regions: list[str] | None = None


class _Document(msgspec.Struct):
    version: fields.Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


def decode(value: msgspec.Raw) -> route_table.RouteTable:
    """Decodes a configuration.

    Args:
        value: The configuration as JSON.

    Raises:
        errors.ConfigurationError: If the JSON is invalid or does not have the
            expected fields with usable values.
    """
    try:
        document = _decode_document(value)
    except decoding_errors.UndecodableError as error:
        raise errors.ConfigurationError(error.message) from error
    return route_table.RouteTable(
        ids.TableVersion(document.version),
        [_to_route(wire) for wire in document.routes],
        [_to_service(wire) for wire in document.services],
        _to_workspaces(document.tenants),
        _to_limits(document.limits),
    )


def _decode_document(value: msgspec.Raw) -> _Document:
    try:
        return untrusted.from_json(value, _Document)
    except decoding_errors.UndecodableError:
        return untrusted.decoded_by(_decode_normalized, value)


def _decode_normalized(value: msgspec.Raw) -> _Document:
    """Decodes a document of a writer that writes some values differently."""
    return msgspec.convert(_normalize(msgspec.json.decode(value)), _Document)


def _normalize(value: Any) -> Any:
    """Removes members that are null; makes whole numbers integers."""
    if isinstance(value, dict):
        return {
            name: _normalize(member)
            for name, member in value.items()
            if member is not None
        }
    if isinstance(value, list):
        return [_normalize(element) for element in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _to_route(wire: _Route) -> route.Route:
    gap_ms = wire.gap_aim_ms
    return route.Route(
        name=ids.RouteName(wire.name),
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        # Requests of an unknown kind may not be safe to retry.
        kind=_REQUEST_KINDS.get(wire.kind, kind.RequestKind.AT_MOST_ONCE),
        timeout_s=wire.timeout_ms / _MS_PER_S,
        objective_s=wire.goal_ms / _MS_PER_S,
        priority=wire.priority,
        services=_to_weighted_services(wire),
        max_attempts=wire.max_attempts,
        is_public=wire.public,
        is_generation=wire.sticky,
        is_resumable=wire.resumable,
        gap_objective_s=None if gap_ms is None else gap_ms / _MS_PER_S,
        permitted_regions=_to_regions(wire.allowed_regions),
    )


def _to_weighted_services(wire: _Route) -> tuple[route.WeightedService, ...]:
    if not wire.split:
        return (route.WeightedService(ids.ServiceName(wire.service or "")),)
    if not any(share.weight for share in wire.split):
        raise errors.ConfigurationError("the weights of a split are all zero")
    return tuple(
        route.WeightedService(ids.ServiceName(share.service), share.weight)
        for share in wire.split
    )


def _to_service(wire: _Service) -> service.Service:
    return service.Service(
        name=ids.ServiceName(wire.name),
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=None if wire.engine is None else _to_engine_traits(wire.engine),
        cold_s=wire.cold_s,
        cold_per_s=wire.cold_per_s,
    )


def _to_engine_traits(wire: _Engine) -> engine_traits.EngineTraits:
    return engine_traits.EngineTraits(
        slots=wire.slots,
        memory_tokens=wire.kv_capacity,
        token_bytes=wire.kv_token_bytes,
        link_mbps=wire.link_mbps,
        can_move=wire.moves,
        can_back_up=wire.backups,
        copy_lifetime_s=wire.handle_s,
    )


def _to_workspaces(
    tenants: list[_Tenant] | None,
) -> list[workspace.KeyedWorkspace] | None:
    if tenants is None:
        return None
    return [
        workspace.KeyedWorkspace(
            ids.WorkspaceId(wire.name),
            tuple(wire.api_keys),
            wire.priority,
            _to_regions(wire.allowed_regions),
        )
        for wire in tenants
    ]


def _to_regions(
    names: list[str] | None,
) -> frozenset[ids.RegionName] | None:
    """Converts a restriction; an empty one does not restrict."""
    return frozenset(ids.RegionName(name) for name in names or ()) or None


def _to_limits(wire: _Limits | None) -> limits.CallerLimits:
    if wire is None:
        return limits.CallerLimits()
    return limits.CallerLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_s=wire.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=wire.idle_timeout_ms / _MS_PER_S,
    )
