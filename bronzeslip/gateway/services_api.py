"""Routes of plain services."""

import urllib.parse

import litestar
from litestar import response

from bronzeslip import ids
from bronzeslip.configuration import service
from bronzeslip.gateway import api_description
from bronzeslip.gateway import body
from bronzeslip.gateway import call_answer
from bronzeslip.gateway import call_input
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import errors
from bronzeslip.gateway import idempotency
from bronzeslip.gateway import request_context
from bronzeslip.gateway import state
from bronzeslip.transport.frames import call as frames

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_PREFIX_SEGMENTS = 4
_DOT_SEGMENTS = frozenset({".", ".."})
_PASSED_REQUEST_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "idempotency-key"}
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "content-length", "date", "server", "transfer-encoding"}
)


@litestar.route(
    "/v1/services/{service_name:str}/{path:path}",
    http_method=_METHODS,
    operation_class=api_description.CallOperation,
    summary="Calls a plain service",
)
async def call_service(
    request: litestar.Request,
    parts: state.GatewayState,
    service_name: str,
    path: str,
) -> litestar.Response[bytes]:
    """Passes a call on to an endpoint of a plain service."""
    context = parts.access.context_for_service(
        request.headers.get("authorization"), ids.ServiceName(service_name)
    )
    with context.record.answering(), parts.enter(context):
        if context.service.kind is not service.ServiceKind.PLAIN:
            raise errors.ServiceNotFoundError(
                f"{service_name!r} is no plain service"
            )
        wanted = call_input.CallInput(
            request.method,
            _target(request),
            _passed_headers(request),
            await body.read(request),
        )
        answer = await _run(request, parts, context, wanted)
    headers = {error_handlers.REQUEST_ID_HEADER: context.request_id}
    return _to_response(answer, headers)


async def _run(
    request: litestar.Request,
    parts: state.GatewayState,
    context: request_context.RequestContext,
    wanted: call_input.CallInput,
) -> call_answer.CallAnswer:
    if context.service.idempotent:
        return await parts.call(context, wanted).run()
    key = idempotency.require_key(request.headers.get(idempotency.KEY_HEADER))
    return await parts.claimed_call(context, wanted, key).run()


def _target(request: litestar.Request) -> str:
    """Returns path and query below the service, encoded as they were sent.

    Raises:
        errors.BadRequestError: If the path would lead above the service.
    """
    raw_path = request.scope["raw_path"].decode("ascii")
    path = "/" + raw_path.split("/", _PREFIX_SEGMENTS)[-1]
    for segment in path.split("/"):
        if urllib.parse.unquote(segment) in _DOT_SEGMENTS:
            raise errors.BadRequestError("the path has a dot segment")
    query = request.scope["query_string"].decode("ascii")
    return f"{path}?{query}" if query else path


def _passed_headers(request: litestar.Request) -> tuple[frames.Header, ...]:
    return tuple(
        frames.Header(str(name), value)
        for name, value in request.headers.multi_items()
        if name in _PASSED_REQUEST_HEADERS
    )


def _to_response(
    answer: call_answer.CallAnswer, own_headers: dict[str, str]
) -> litestar.Response[bytes]:
    headers = {
        header.name: header.value
        for header in answer.headers
        if header.name not in _DROPPED_RESPONSE_HEADERS
    }
    headers.update(own_headers)
    if answer.replayed:
        headers[idempotency.REPLAYED_HEADER] = "true"
    media_type = headers.pop("content-type", "application/octet-stream")
    return response.Response(
        answer.body,
        status_code=answer.status,
        media_type=media_type,
        headers=headers,
    )
