"""Routes of plain services."""

import urllib.parse

import litestar
from litestar import response

from bronzeslip import ids
from bronzeslip.configuration import service
from bronzeslip.gateway import api_description
from bronzeslip.gateway import call_request
from bronzeslip.gateway import call_response
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import errors
from bronzeslip.gateway import idempotency
from bronzeslip.gateway import request_body
from bronzeslip.gateway import request_context
from bronzeslip.gateway import state
from bronzeslip.http import hop_by_hop
from bronzeslip.transport.frames import call as frames

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
# The empty segment before the first slash, then v1, services and the name.
_PREFIX_SEGMENTS = 4
_DOT_SEGMENTS = frozenset({".", ".."})
_FORWARDED_REQUEST_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "idempotency-key"}
)
_DROPPED_RESPONSE_HEADERS = frozenset({b"content-length", b"date", b"server"})


@litestar.route(
    "/v1/services/{service_name:str}/{path:path}",
    http_method=_METHODS,
    operation_class=api_description.CallOperation,
    summary="Calls a plain service",
)
async def call_service(
    request: litestar.Request,
    gateway_state: state.GatewayState,
    service_name: str,
    path: str,
) -> litestar.Response[bytes]:
    """Forwards a call to an endpoint of a plain service."""
    context = gateway_state.access_control.context_for_service(
        request.headers.get("authorization"), ids.ServiceName(service_name)
    )
    with context.record.track_outcome(), gateway_state.acquire_permit(context):
        if context.service.kind is not service.ServiceKind.PLAIN:
            raise errors.ServiceNotFoundError(
                f"service {service_name!r} is not a plain service"
            )
        call = call_request.CallRequest(
            request.method,
            _request_target(request),
            _forwarded_headers(request),
            await request_body.read(request),
        )
        call_result = await _execute(request, gateway_state, context, call)
    headers = {error_handlers.REQUEST_ID_HEADER: context.request_id}
    return _to_response(call_result, headers)


async def _execute(
    request: litestar.Request,
    gateway_state: state.GatewayState,
    context: request_context.RequestContext,
    call: call_request.CallRequest,
) -> call_response.CallResponse:
    if context.service.idempotent:
        return await gateway_state.create_call_session(context, call).run()
    key = idempotency.require_key(request.headers.get(idempotency.KEY_HEADER))
    return await gateway_state.create_claimed_call_session(
        context, call, key
    ).run()


def _request_target(request: litestar.Request) -> str:
    """Returns the path and query relative to the service.

    Percent-encoding is left as it was received.

    Raises:
        errors.BadRequestError: If the path contains a dot segment, which could
            lead outside of the service.
    """
    raw_path = request.scope["raw_path"].decode("ascii")
    path = "/" + raw_path.split("/", _PREFIX_SEGMENTS)[-1]
    for segment in path.split("/"):
        if urllib.parse.unquote(segment) in _DOT_SEGMENTS:
            raise errors.BadRequestError("the path contains a dot segment")
    query = request.scope["query_string"].decode("ascii")
    return f"{path}?{query}" if query else path


def _forwarded_headers(request: litestar.Request) -> tuple[frames.Header, ...]:
    return tuple(
        frames.Header(str(name), value)
        for name, value in request.headers.multi_items()
        if name in _FORWARDED_REQUEST_HEADERS
    )


def _to_response(
    call_result: call_response.CallResponse, own_headers: dict[str, str]
) -> litestar.Response[bytes]:
    dropped = _DROPPED_RESPONSE_HEADERS | hop_by_hop.names_in(
        [
            (header.name.encode(), header.value.encode())
            for header in call_result.headers
        ]
    )
    headers = {
        header.name: header.value
        for header in call_result.headers
        if header.name.encode() not in dropped
    }
    headers.update(own_headers)
    if call_result.replayed:
        headers[idempotency.REPLAYED_HEADER] = "true"
    media_type = headers.pop("content-type", "application/octet-stream")
    return response.Response(
        call_result.body,
        status_code=call_result.status,
        media_type=media_type,
        headers=headers,
    )
