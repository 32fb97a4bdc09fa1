"""Sends many large bodies at once."""

import asyncio
import contextlib
import random
import time
import uuid

import httpx

from tools import entry_configuration
from tools import entry_gateway
from tools.soak import request_kind
from tools.soak import request_result

_COUNT = 30
_TIMEOUT = httpx.Timeout(20.0, connect=1.0)


class LargeBodies:
    """Sends bursts of bodies of the largest size that is allowed.

    Attributes:
        results: Results of the requests, in the order in which they ended.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates a sender.

        Args:
            rng: Source of random numbers.
        """
        self.results: list[request_result.RequestResult] = []
        self._rng = rng

    def send_burst(self, gateway: entry_gateway.EntryGateway) -> None:
        """Sends calls at once and waits for their responses."""
        asyncio.run(self._send_all(gateway))

    async def _send_all(self, gateway: entry_gateway.EntryGateway) -> None:
        limits = httpx.Limits(max_connections=_COUNT)
        async with (
            httpx.AsyncClient(timeout=_TIMEOUT, limits=limits) as client,
            asyncio.TaskGroup() as group,
        ):
            for _ in range(_COUNT):
                group.create_task(self._send(client, gateway))

    async def _send(
        self, client: httpx.AsyncClient, gateway: entry_gateway.EntryGateway
    ) -> None:
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        sent = request_result.SentRequest(
            request_id,
            request_kind.RequestKind.CALL,
            gateway.name,
            time.monotonic(),
        )
        body = f"discard {request_id} ".encode()
        response = None
        # A lost response is a result too.
        with contextlib.suppress(httpx.HTTPError):
            response = await client.post(
                gateway.url(sent.kind.value),
                headers=entry_configuration.headers(request_id),
                content=body.ljust(entry_configuration.MAX_BODY_BYTES, b"x"),
            )
        self.results.append(sent.ended(response))
