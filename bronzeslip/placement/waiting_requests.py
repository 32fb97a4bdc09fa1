"""Generations that wait for a placement, in order."""

import collections
from collections.abc import Iterator
import heapq
import operator

import sortedcontainers

from bronzeslip import ids
from bronzeslip.placement import waiting_request


class WaitingRequests:
    """Waiting generations of one shard, ordered by their position."""

    def __init__(self) -> None:
        self._by_id: dict[ids.RequestId, waiting_request.WaitingRequest] = {}
        self._ordered = sortedcontainers.SortedKeyList(
            key=operator.attrgetter("position")
        )
        self._counts: collections.Counter[bool] = collections.Counter()
        self._expirations: list[tuple[float, ids.RequestId]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def count(self, can_be_in_time: bool) -> int:
        """Returns how many requests wait that can or can't be in time."""
        return self._counts[can_be_in_time]

    def get(
        self, request_id: ids.RequestId
    ) -> waiting_request.WaitingRequest | None:
        """Returns a waiting request."""
        return self._by_id.get(request_id)

    def put(self, waiting: waiting_request.WaitingRequest) -> None:
        """Adds a request or replaces its previous ask."""
        self.remove(waiting.request_id)
        self._by_id[waiting.request_id] = waiting
        self._ordered.add(waiting)
        self._counts[waiting.can_be_in_time] += 1
        heapq.heappush(
            self._expirations, (waiting.expires_s, waiting.request_id)
        )

    def remove(self, request_id: ids.RequestId) -> None:
        """Removes a request if it is waiting."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is not None:
            self._ordered.remove(waiting)
            self._counts[waiting.can_be_in_time] -= 1

    def remove_expired(self, now_s: float) -> None:
        """Removes the requests that have not asked again in time."""
        while self._expirations and self._expirations[0][0] <= now_s:
            _, request_id = heapq.heappop(self._expirations)
            waiting = self._by_id.get(request_id)
            if waiting is not None and waiting.expires_s <= now_s:
                self.remove(request_id)

    def ahead_of(
        self, waiting: waiting_request.WaitingRequest
    ) -> Iterator[waiting_request.WaitingRequest]:
        """Yields the requests that are to be placed first, in order.

        Requests that can't be placed at the same endpoints are omitted.
        """
        for other in self._ordered.irange_key(
            max_key=waiting.position, inclusive=(True, False)
        ):
            if other.request_id != waiting.request_id and (
                not other.endpoint_ids.isdisjoint(waiting.endpoint_ids)
            ):
                yield other
