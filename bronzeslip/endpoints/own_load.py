"""What this gateway itself has under way at each endpoint."""

import asyncio
from collections.abc import Iterator
import contextlib

import msgspec

from bronzeslip import ids


class OwnRun(msgspec.Struct, frozen=True):
    """One request that this gateway has at an endpoint.

    Attributes:
        started_s: When it was sent, on the loop's clock.
        prompt_tokens: Length of its prompt, in tokens.
        expected_tokens: Memory that it is expected to end at, in tokens.
        is_long: Whether it may outlive its engine.
    """

    started_s: float
    prompt_tokens: int = 0
    expected_tokens: int = 0
    is_long: bool = False


class OwnLoad:
    """Counts the requests that this gateway has at each endpoint."""

    def __init__(self) -> None:
        self._runs: dict[ids.EndpointId, dict[int, OwnRun]] = {}
        self._next_number = 0

    @contextlib.contextmanager
    def hold(
        self,
        endpoint_id: ids.EndpointId,
        prompt_tokens: int = 0,
        expected_tokens: int = 0,
        is_long: bool = False,
    ) -> Iterator[None]:
        """Counts a request for as long as the block runs."""
        number = self._next_number
        self._next_number += 1
        now_s = asyncio.get_running_loop().time()
        run = OwnRun(now_s, prompt_tokens, expected_tokens, is_long)
        self._runs.setdefault(endpoint_id, {})[number] = run
        try:
            yield
        finally:
            runs = self._runs[endpoint_id]
            del runs[number]
            if not runs:
                del self._runs[endpoint_id]

    def count(self, endpoint_id: ids.EndpointId) -> int:
        """Returns how many requests are under way at an endpoint."""
        return len(self._runs.get(endpoint_id, ()))

    def has_long(self, endpoint_id: ids.EndpointId) -> bool:
        """Tells whether a long run of this gateway is at an endpoint."""
        runs = self._runs.get(endpoint_id, {})
        return any(run.is_long for run in runs.values())

    def since(
        self, endpoint_id: ids.EndpointId, time_s: float
    ) -> tuple[OwnRun, ...]:
        """Lists the requests sent to an endpoint after a time."""
        return tuple(
            run
            for run in self._runs.get(endpoint_id, {}).values()
            if run.started_s > time_s
        )
