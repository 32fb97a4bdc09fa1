"""What this gateway itself has under way at each endpoint."""

import asyncio
from collections.abc import Iterator
import contextlib

import msgspec

from bronzeslip import ids


class InFlightRequest(msgspec.Struct, frozen=True):
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


class InFlightRequests:
    """Counts the requests that this gateway has at each endpoint."""

    def __init__(self) -> None:
        self._requests: dict[ids.EndpointId, dict[int, InFlightRequest]] = {}
        self._next_number = 0

    @contextlib.contextmanager
    def track(
        self,
        endpoint_id: ids.EndpointId,
        prompt_tokens: int = 0,
        expected_tokens: int = 0,
        is_long: bool = False,
    ) -> Iterator[None]:
        """Counts a request for as long as the block runs."""
        request_number = self._next_number
        self._next_number += 1
        now_s = asyncio.get_running_loop().time()
        request = InFlightRequest(
            now_s, prompt_tokens, expected_tokens, is_long
        )
        self._requests.setdefault(endpoint_id, {})[request_number] = request
        try:
            yield
        finally:
            requests = self._requests[endpoint_id]
            del requests[request_number]
            if not requests:
                del self._requests[endpoint_id]

    def count(self, endpoint_id: ids.EndpointId) -> int:
        """Returns how many requests are under way at an endpoint."""
        return len(self._requests.get(endpoint_id, ()))

    def has_long_request(self, endpoint_id: ids.EndpointId) -> bool:
        """Tells whether a long run of this gateway is at an endpoint."""
        requests = self._requests.get(endpoint_id, {})
        return any(request.is_long for request in requests.values())

    def sent_since(
        self, endpoint_id: ids.EndpointId, time_s: float
    ) -> tuple[InFlightRequest, ...]:
        """Lists the requests sent to an endpoint after a time."""
        return tuple(
            request
            for request in self._requests.get(endpoint_id, {}).values()
            if request.started_s > time_s
        )
