"""Work that ends when its caller goes."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from litestar import types

from bronzeslip.gateway import errors

ResultT = TypeVar("ResultT")

_DISCONNECT = "http.disconnect"


async def run_while_connected(
    receive: types.Receive, work: Coroutine[Any, Any, ResultT]
) -> ResultT:
    """Runs work for a request whose body has been read.

    Args:
        receive: Tells of the caller's leaving.
        work: Work to run.

    Raises:
        errors.CallerGoneError: If the caller has closed the connection; the
            work was cancelled.
    """
    working = asyncio.create_task(work)
    leaving = asyncio.create_task(_wait_gone(receive))
    try:
        await asyncio.wait(
            (working, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        if not working.done():
            raise errors.CallerGoneError("the caller has gone")
        return working.result()
    finally:
        working.cancel()
        leaving.cancel()
        await asyncio.wait((working, leaving))


async def _wait_gone(receive: types.Receive) -> None:
    while (await receive())["type"] != _DISCONNECT:
        pass
