"""Reading of request bodies."""

from typing import Any
from typing import TypeVar

import litestar
from litestar import exceptions
import msgspec

from bronzeslip.gateway import errors

BodyT = TypeVar("BodyT")


async def read(request: litestar.Request) -> bytes:
    """Reads a request's body.

    Raises:
        errors.TooLargeError: If it is larger than allowed.
        errors.BadRequestError: If the caller broke it off.
    """
    try:
        return await request.body()
    except exceptions.ClientException as error:
        if error.status_code == errors.TooLargeError.status:
            raise errors.TooLargeError("the body is too large") from error
        raise errors.BadRequestError("the body is not complete") from error


async def decode(request: litestar.Request, wanted: type[BodyT]) -> BodyT:
    """Reads a JSON body into a type.

    Raises:
        errors.BadRequestError: If it does not have that form.
    """
    data = await read(request)
    try:
        return msgspec.json.decode(data, type=wanted)
    except msgspec.MsgspecError as error:
        raise errors.BadRequestError(str(error)) from error


def encode(value: Any) -> bytes:
    """Writes a JSON body."""
    return msgspec.json.encode(value)
