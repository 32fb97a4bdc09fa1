"""Problem documents of RFC 9457."""

import math

import litestar
import msgspec

from bronzeslip import errors
from bronzeslip.gateway import errors as gateway_errors

MEDIA_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:bronzeslip:problem:"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error as callers read it.

    Attributes:
        type: URN of the kind of problem.
        title: Summary of the kind.
        status: HTTP status.
        detail: Explanation of this occurrence.
        code: Stable code of the kind.
        retry_after_s: When to come back, in seconds.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    retry_after_s: float | None = None


def from_error(error: errors.BronzeslipError) -> Problem:
    """Describes an error of any layer."""
    status = getattr(error, "status", gateway_errors.GatewayError.status)
    title = getattr(error, "title", gateway_errors.GatewayError.title)
    return Problem(
        _TYPE_PREFIX + error.code,
        title,
        status,
        error.message,
        error.code,
        error.retry_after_s,
    )


def to_response(problem: Problem) -> litestar.Response[bytes]:
    """Renders a problem as an HTTP answer."""
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
    return litestar.Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type=MEDIA_TYPE,
        headers=headers,
    )
