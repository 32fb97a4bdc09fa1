"""Order of waiting requests by fair share and age."""

from collections.abc import Iterator
import operator

import sortedcontainers

from bronzeslip import ids
from bronzeslip.admission import pending_request

_MAX_TRACKED_WORKSPACES = 10_000


class FairQueue:
    """Start-time fair queueing over workspaces, with ageing.

    A request's tag is the engine time that its workspace has asked for so
    far, divided by the workspace's weight. Its rank adds the time of its
    arrival, so that nobody is overtaken for ever.
    """

    def __init__(self, ageing_ratio: float) -> None:
        """Creates an empty queue.

        Args:
            ageing_ratio: Engine time, in seconds, that a second of waiting
                makes up for.
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
        """Gives a request its place and charges its workspace."""
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
        """Takes a ranked request in."""
        self._queues[pending.is_interactive].add(pending)
        self.total_cost_s += pending.cost_s

    def remove(self, pending: pending_request.PendingRequest) -> None:
        """Takes a request out that is not to be admitted."""
        self._queues[pending.is_interactive].remove(pending)
        self.total_cost_s = max(self.total_cost_s - pending.cost_s, 0.0)

    def heads(self) -> Iterator[pending_request.PendingRequest]:
        """Yields the first request of each class, the best first."""
        heads = [queue[0] for queue in self._queues.values() if queue]
        yield from sorted(heads, key=operator.attrgetter("rank"))

    def record_admission(
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> None:
        """Notes that a request got its place."""
        tag_s = pending.rank - self._ageing_ratio * now_s
        self._virtual_time_s = max(self._virtual_time_s, tag_s)

    def count(self, is_interactive: bool) -> int:
        """Returns how many of a class wait."""
        return len(self._queues[is_interactive])

    def _evict_idle_workspaces(self) -> None:
        self._next_tag_s = {
            workspace_id: tag_s
            for workspace_id, tag_s in self._next_tag_s.items()
            if tag_s > self._virtual_time_s
        }
