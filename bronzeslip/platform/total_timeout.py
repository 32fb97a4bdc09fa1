"""Timeout of a call to an endpoint as a whole."""

import asyncio
from typing import Any

from bronzeslip.forwarding import endpoint_errors


class TotalTimeout:
    """Bounds a call as a whole.

    The HTTP client's own timeouts restart with each byte received.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout = asyncio.timeout(timeout_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *error_info: Any) -> None:
        try:
            await self._timeout.__aexit__(*error_info)
        except TimeoutError as error:
            raise endpoint_errors.EndpointResponseLostError(
                "no complete response in time"
            ) from error
