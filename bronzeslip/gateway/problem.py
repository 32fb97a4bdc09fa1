"""Conversion of errors to problem documents."""

import math

import litestar
import msgspec

from bronzeslip import errors
from bronzeslip.gateway import errors as gateway_errors
from bronzeslip.http import problem as http_problem

_SHOULD_RETRY_HEADER = "x-should-retry"


def from_error(error: errors.BronzeslipError) -> http_problem.Problem:
    """Creates the problem document of an error from any layer."""
    if not isinstance(error, gateway_errors.GatewayError):
        error = _to_gateway_error(error)
    return http_problem.create(
        error.code,
        error.title,
        error.status,
        error.message,
        field=error.field,
        retry_after_s=error.retry_after_s,
        current_number=error.current_number,
        may_repeat=error.may_repeat,
    )


def to_response(problem: http_problem.Problem) -> litestar.Response[bytes]:
    """Creates the HTTP response of a problem."""
    return litestar.Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type=http_problem.MEDIA_TYPE,
        headers=_headers(problem),
    )


def _headers(problem: http_problem.Problem) -> dict[str, str]:
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
    if problem.may_repeat is not None:
        headers[_SHOULD_RETRY_HEADER] = str(problem.may_repeat).lower()
    if problem.status == http_problem.UNAUTHORIZED_STATUS:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def _to_gateway_error(
    error: errors.BronzeslipError,
) -> gateway_errors.GatewayError:
    converted = gateway_errors.GatewayError(
        error.message, retry_after_s=error.retry_after_s
    )
    converted.code = error.code
    return converted
