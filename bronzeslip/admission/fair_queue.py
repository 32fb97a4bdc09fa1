"""Fair queueing of waiting requests by workspace."""

from collections.abc import Iterator
import operator

import sortedcontainers

from bronzeslip.admission import fair_ranks
from bronzeslip.admission import pending_request


class FairQueue:
    """Queue of each class of requests, in the order of their fair ranks.

    Attributes:
        total_cost_s: Total cost of the queued requests, in seconds.
    """

    def __init__(self, ageing_ratio: float) -> None:
        """Creates an empty queue.

        Args:
            ageing_ratio: Engine time, in seconds, that one second of waiting
                compensates for.
        """
        self._ranks = fair_ranks.FairRanks(ageing_ratio)
        self._queues: dict[bool, sortedcontainers.SortedKeyList] = {
            is_interactive: sortedcontainers.SortedKeyList(
                key=operator.attrgetter("rank")
            )
            for is_interactive in (True, False)
        }
        self.total_cost_s = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def assign_rank(
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> None:
        """Assigns the rank of a request and charges its workspace."""
        pending.rank = self._ranks.assign(
            pending.request.workspace_id,
            pending.cost_s / pending.request.weight,
            now_s,
        )

    def add(self, pending: pending_request.PendingRequest) -> None:
        """Adds a ranked request to the queue."""
        self._queues[pending.is_interactive].add(pending)
        self.total_cost_s += pending.cost_s

    def remove(self, pending: pending_request.PendingRequest) -> None:
        """Removes a request from the queue."""
        self._queues[pending.is_interactive].remove(pending)
        self.total_cost_s = max(self.total_cost_s - pending.cost_s, 0.0)

    def heads(self) -> Iterator[pending_request.PendingRequest]:
        """Yields the first request of each class, lowest rank first."""
        heads = [queue[0] for queue in self._queues.values() if queue]
        yield from sorted(heads, key=operator.attrgetter("rank"))

    def record_admission(
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> None:
        """Advances virtual time when a request is admitted."""
        self._ranks.record_start(pending.rank, now_s)

    def count(self, is_interactive: bool) -> int:
        """Returns the number of queued requests of a class."""
        return len(self._queues[is_interactive])
