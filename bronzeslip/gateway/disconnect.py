"""Cancellation of work when the caller disconnects."""

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
    """Runs work until it ends or the caller disconnects.

    The request body must have been read before, because all ASGI messages
    other than the disconnect are discarded.

    Args:
        receive: ASGI receive function of the request.
        work: Work to run.

    Raises:
        errors.CallerDisconnectedError: If the caller has closed the
            connection; the work was cancelled.
    """
    work_task = asyncio.create_task(work)
    disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            (work_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED
        )
        if not work_task.done():
            raise errors.CallerDisconnectedError(
                "the caller closed the connection"
            )
        return work_task.result()
    finally:
        work_task.cancel()
        disconnect_task.cancel()
        await asyncio.wait((work_task, disconnect_task))


async def _wait_for_disconnect(receive: types.Receive) -> None:
    while (await receive())["type"] != _DISCONNECT:
        pass
