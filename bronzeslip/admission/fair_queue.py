"""Fair queueing of waiting requests by workspace."""

from collections.abc import Iterator
import operator

import sortedcontainers

from bronzeslip import ids
from bronzeslip.admission import pending_request

_MAX_TRACKED_WORKSPACES = 10_000


class FairQueue:
    """Start-time fair queueing over workspaces, with ageing.

    The start tag of a request is the engine time that its workspace has
    requested so far, divided by the weight of the workspace, and at least the
    current virtual time. The rank is the tag plus the weighted arrival time,
    which prevents starvation.

    Attributes:
        total_cost_s: Total cost of the queued requests, in seconds.
    """

    def __init__(self, ageing_ratio: float) -> None:
        """Creates an empty queue.

        Args:
            ageing_ratio: Engine time, in seconds, that one second of waiting
                compensates for.
        """
        self._ageing_ratio = ageing_ratio
        self._virtual_time_s = 0.0
        self._next_tag_s: dict[ids.WorkspaceId, float] = {}
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
        workspace_id = pending.request.workspace_id
        tag_s = max(
            self._virtual_time_s, self._next_tag_s.get(workspace_id, 0.0)
        )
        weighted_cost_s = pending.cost_s / pending.request.weight
        self._next_tag_s[workspace_id] = tag_s + weighted_cost_s
        pending.rank = tag_s + self._ageing_ratio * now_s
        if len(self._next_tag_s) > _MAX_TRACKED_WORKSPACES:
            self._evict_idle_workspaces()

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
        """Advances virtual time when a request is admitted.

        Virtual time becomes at least the rank of the request minus the
        weighted current time.
        """
        tag_s = pending.rank - self._ageing_ratio * now_s
        self._virtual_time_s = max(self._virtual_time_s, tag_s)

    def count(self, is_interactive: bool) -> int:
        """Returns the number of queued requests of a class."""
        return len(self._queues[is_interactive])

    def _evict_idle_workspaces(self) -> None:
        self._next_tag_s = {
            workspace_id: tag_s
            for workspace_id, tag_s in self._next_tag_s.items()
            if tag_s > self._virtual_time_s
        }
