"""Problem documents of RFC 9457."""

import msgspec

from bronzeslip import ids

MEDIA_TYPE = "application/problem+json"
UNAUTHORIZED_STATUS = 401
LIMITED_STATUS = 429
INTERNAL_STATUS = 500
_TYPE_PREFIX = "urn:bronzeslip:problem:"


class ApiError(msgspec.Struct, frozen=True):
    """The same error in the form that OpenAI clients read.

    Attributes:
        message: Explanation of this occurrence.
        type: Kind of error, as these clients know it.
        code: Stable code of the kind.
        param: Field of the request that is wrong.
    """

    message: str
    type: str
    code: str
    param: str | None = None


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error as callers read it.

    Attributes:
        type: URN of the kind of problem.
        title: Summary of the kind.
        status: HTTP status.
        detail: Explanation of this occurrence.
        code: Stable code of the kind.
        error: The same in the form that OpenAI clients read.
        retry_after_s: When to come back, in seconds.
        current_number: Current configuration number.
        may_repeat: Whether a client may send the request again by itself.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    error: ApiError
    retry_after_s: float | None = None
    current_number: ids.ConfigurationNumber | None = None
    may_repeat: bool | None = None


def create(
    code: str,
    title: str,
    status: int,
    detail: str,
    *,
    field: str | None = None,
    retry_after_s: float | None = None,
    current_number: ids.ConfigurationNumber | None = None,
    may_repeat: bool | None = None,
) -> Problem:
    """Creates a problem document that includes the OpenAI error."""
    return Problem(
        _TYPE_PREFIX + code,
        title,
        status,
        detail,
        code,
        ApiError(detail, _api_type(status), code, field),
        retry_after_s,
        current_number,
        may_repeat,
    )


def _api_type(status: int) -> str:
    if status == UNAUTHORIZED_STATUS:
        return "authentication_error"
    if status == LIMITED_STATUS:
        return "rate_limit_error"
    if status >= INTERNAL_STATUS:
        return "server_error"
    return "invalid_request_error"
