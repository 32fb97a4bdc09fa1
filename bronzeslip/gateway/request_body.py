"""Reading and decoding of request bodies."""

import asyncio
import re
from typing import TypeVar

import litestar
from litestar import exceptions
import msgspec

from bronzeslip.gateway import errors

_JSON_MEDIA_TYPE = re.compile(
    r"application/(?:[\w.-]+\+)?json\s*(?:;.*)?", re.IGNORECASE
)
_VALIDATION_MESSAGE = re.compile(
    r"^(?P<reason>.*?)(?: - at `\$\.?(?P<path>.*)`)?$", re.DOTALL
)
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_LEADING_FIELD = re.compile(r"^`(\w+)`")

BodyT = TypeVar("BodyT")


async def read(request: litestar.Request) -> bytes:
    """Reads the body of a request.

    Raises:
        errors.TooLargeError: If it exceeds the size limit.
        errors.ReadTimeoutError: If it does not arrive in time.
        errors.BadRequestError: If the caller did not send all of it.
    """
    try:
        async with asyncio.timeout(request.app.state.get("body_timeout_s")):
            return await request.body()
    except TimeoutError as error:
        raise errors.ReadTimeoutError(
            "the body was not received in time"
        ) from error
    except exceptions.HTTPException as error:
        if error.status_code == errors.TooLargeError.status:
            raise errors.TooLargeError("the body is too large") from error
        raise errors.BadRequestError("the body is incomplete") from error


async def decode(request: litestar.Request, body_type: type[BodyT]) -> BodyT:
    """Decodes a JSON body into a type.

    Raises:
        errors.UnsupportedMediaTypeError: If its media type is not JSON.
        errors.BadRequestError: If it is malformed or does not match the type.
    """
    _check_media_type(request)
    data = await read(request)
    try:
        return msgspec.json.decode(data, type=body_type)
    except msgspec.ValidationError as error:
        raise _validation_error(str(error)) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.BadRequestError(_describe_decode_error(error)) from error
    except RecursionError as error:
        raise errors.BadRequestError("the JSON is nested too deeply") from error


def _check_media_type(request: litestar.Request) -> None:
    declared = request.headers.get("content-type")
    if declared and not _JSON_MEDIA_TYPE.fullmatch(declared):
        raise errors.UnsupportedMediaTypeError(
            "the body must be application/json"
        )


def _describe_decode_error(error: Exception) -> str:
    if isinstance(error, UnicodeDecodeError):
        return "the JSON is not valid UTF-8"
    return f"malformed JSON: {error}"


def _validation_error(message: str) -> errors.BadRequestError:
    match = _VALIDATION_MESSAGE.match(message)
    reason, path = match["reason"], match["path"] or ""
    field_match = _MISSING_FIELD.search(reason) or _LEADING_FIELD.match(reason)
    if field_match and not path.endswith(field_match[1]):
        path = f"{path}.{field_match[1]}" if path else field_match[1]
    return errors.BadRequestError(
        f"{path}: {reason}" if path else reason, field=path or None
    )
