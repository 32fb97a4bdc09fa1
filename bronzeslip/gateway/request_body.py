"""Reading and decoding of request bodies."""

import asyncio
import re
from typing import TypeVar

import litestar
from litestar import exceptions
import msgspec

from bronzeslip.decoding import numbers
from bronzeslip.gateway import body_memory
from bronzeslip.gateway import errors
from bronzeslip.gateway import memory_app
from bronzeslip.http import partial_body

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
        errors.UnavailableError: If there is no memory for it.
    """
    memory = _memory(request)
    if memory is not None:
        await memory.reserve(_expected_bytes(request))
    # The request would keep the body that it returns as a whole.
    body = partial_body.PartialBody(_stated_bytes(request))
    reading = _read(request, body)
    if memory is None:
        return await reading
    return await memory.read(reading, body)


async def _read(
    request: litestar.Request, body: partial_body.PartialBody
) -> bytes:
    try:
        async with asyncio.timeout(request.app.state.get("body_timeout_s")):
            async for chunk in request.stream():
                body.add(chunk)
            return body.join()
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
    memory = _memory(request)
    if memory is not None:
        await memory.reserve_decoded(data)
    decoded = _try_decode(data, body_type)
    if memory is not None:
        memory.end_decoding(len(data))
    # The trace of an error would keep the body until the next garbage
    # collection.
    del data
    if isinstance(decoded, errors.BadRequestError):
        raise decoded
    return decoded


def _try_decode(
    data: bytes, body_type: type[BodyT]
) -> BodyT | errors.BadRequestError:
    try:
        return msgspec.json.decode(data, type=body_type)
    except msgspec.ValidationError as error:
        return _validation_error(str(error))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return errors.BadRequestError(_describe_decode_error(error))
    except RecursionError:
        return errors.BadRequestError("the JSON is nested too deeply")


def _memory(request: litestar.Request) -> body_memory.BodyMemory | None:
    """Returns the memory of the request, None if it is not bounded."""
    held = request.scope.get(memory_app.SCOPE_KEY)
    return None if held is None else body_memory.BodyMemory(held)


def _expected_bytes(request: litestar.Request) -> int:
    """Returns the largest size that the body may have."""
    max_bytes = request.app.request_max_body_size
    stated_bytes = _stated_bytes(request)
    return max_bytes if stated_bytes is None else stated_bytes


def _stated_bytes(request: litestar.Request) -> int | None:
    """Returns the length of the body, or None if it is unknown.

    A body that is stated to be too large is rejected unread.
    """
    if "transfer-encoding" in request.headers:
        return None
    stated = numbers.parse_count(request.headers.get("content-length", "0"))
    max_bytes = request.app.request_max_body_size
    return 0 if stated is None or stated > max_bytes else stated


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
