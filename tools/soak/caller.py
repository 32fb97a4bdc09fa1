"""Callers that send requests while faults are injected."""

import asyncio
from collections.abc import Sequence
import random
import time
import uuid

import httpx

from tools import entry_configuration
from tools import entry_gateway
from tools.soak import request_kind
from tools.soak import request_result
from tools.soak import request_variant

_PAUSE_S = 0.05
_TIMEOUT = httpx.Timeout(20.0, connect=1.0)
_KINDS = tuple(request_kind.RequestKind)
_BROKEN_STREAM_SHARE = 0.1
_SLOW_READ_PAUSE_S = 0.05
_SHARED_PROMPT_PART = "instructions"


class Callers:
    """Sends requests of every kind to every gateway.

    Attributes:
        results: Results of the requests, in the order in which they ended.
    """

    def __init__(
        self,
        gateways: Sequence[entry_gateway.EntryGateway],
        rng: random.Random,
        started_s: float,
        variant_rng: random.Random | None = None,
    ) -> None:
        """Creates callers.

        Args:
            gateways: Gateways to call.
            rng: Source of random numbers.
            started_s: Start of the trial on the monotonic clock.
            variant_rng: Source of random numbers that selects regional routes,
                slow readers of large streams and streams with a prompt; None
                for none of them.
        """
        self.results: list[request_result.RequestResult] = []
        self._gateways = gateways
        self._rng = rng
        self._started_s = started_s
        self._variant_rng = variant_rng

    async def run(self, caller_count: int, stop: asyncio.Event) -> None:
        """Sends requests until told to stop, then waits for the responses."""
        async with asyncio.TaskGroup() as group:
            for _ in range(caller_count):
                group.create_task(self._call_until(stop))

    async def _call_until(self, stop: asyncio.Event) -> None:
        """Sends requests over connections that stay open between them."""
        async with httpx.AsyncClient(timeout=_TIMEOUT) as client:
            while not stop.is_set():
                await self._call(client)
                await asyncio.sleep(self._rng.uniform(0, 2 * _PAUSE_S))

    def _body(
        self,
        kind: request_kind.RequestKind,
        request_id: str,
        variant: request_variant.RequestVariant,
    ) -> bytes:
        if kind is not request_kind.RequestKind.STREAM:
            return request_id.encode()
        is_broken = self._rng.random() < _BROKEN_STREAM_SHARE
        if variant.reads_slowly:
            return b"large-stream"
        return b"broken-stream" if is_broken else b"stream"

    async def _call(self, client: httpx.AsyncClient) -> None:
        kind = self._rng.choice(_KINDS)
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        variant = request_variant.RequestVariant()
        if self._variant_rng is not None:
            variant = request_variant.select(kind, self._variant_rng)
        path = entry_configuration.REGIONAL_PATH_BY_REGION.get(
            variant.allowed_region, kind.value
        )
        shared_parts = (_SHARED_PROMPT_PART,) if variant.has_prompt else ()
        chunks: list[bytes] = []
        status = None
        stamp = ""
        is_complete = False
        gateway = self._rng.choice(self._gateways)
        sent_s = time.monotonic()
        try:
            async with client.stream(
                "POST",
                gateway.url(path),
                headers=entry_configuration.headers(request_id, *shared_parts),
                content=self._body(kind, request_id, variant),
            ) as response:
                status = response.status_code
                stamp = response.headers.get(request_result.STAMP_HEADER, "")
                async for chunk in response.aiter_bytes():
                    chunks.append(chunk)
                    if variant.reads_slowly:
                        await asyncio.sleep(_SLOW_READ_PAUSE_S)
            is_complete = True
        except httpx.HTTPError:
            # The result holds the part that was received.
            pass
        ended_s = time.monotonic()
        self.results.append(
            request_result.RequestResult(
                request_id,
                kind,
                status,
                b"".join(chunks),
                is_complete,
                ended_s - self._started_s,
                gateway.name,
                sent_s,
                ended_s,
                allowed_region=variant.allowed_region,
                stamp=stamp,
            )
        )
