"""Requests of this gateway in flight at each endpoint."""

import asyncio
from collections.abc import Iterator
import contextlib

import msgspec

from bronzeslip import ids


class InFlightRequest(msgspec.Struct, frozen=True):
    """One request in flight at an endpoint.

    Attributes:
        sent_s: Time at which it was sent on the event loop's clock, in
            seconds.
        prompt_tokens: Length of its prompt, in tokens.
        expected_tokens: Expected memory use at its end, in tokens.
        is_long: Whether it may outlive its engine.
        request_id: Id of the request, or None if it is not tracked by id.
    """

    sent_s: float
    prompt_tokens: int = 0
    expected_tokens: int = 0
    is_long: bool = False
    request_id: ids.RequestId | None = None


class InFlightRequests:
    """Tracks the requests of this gateway at each endpoint."""

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
        request_id: ids.RequestId | None = None,
    ) -> Iterator[None]:
        """Tracks a request for the duration of the context."""
        request_number = self._next_number
        self._next_number += 1
        now_s = asyncio.get_running_loop().time()
        request = InFlightRequest(
            now_s, prompt_tokens, expected_tokens, is_long, request_id
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
        """Returns the number of requests in flight at an endpoint."""
        return len(self._requests.get(endpoint_id, ()))

    def counts(self) -> dict[ids.EndpointId, int]:
        """Returns the number of requests at each endpoint that has any."""
        return {
            endpoint_id: len(requests)
            for endpoint_id, requests in self._requests.items()
        }

    def has_long_request(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether a long request is in flight at an endpoint."""
        requests = self._requests.get(endpoint_id, {})
        return any(request.is_long for request in requests.values())

    def sent_since(
        self, endpoint_id: ids.EndpointId, time_s: float
    ) -> tuple[InFlightRequest, ...]:
        """Returns the in-flight requests sent to an endpoint after a time."""
        return tuple(
            request
            for request in self._requests.get(endpoint_id, {}).values()
            if request.sent_s > time_s
        )
