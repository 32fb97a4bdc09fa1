"""Ranks of requests by fair shares of their workspaces."""

from bronzeslip import ids

_MAX_TRACKED_WORKSPACES = 10_000


class FairRanks:
    """Start-time fair queueing over workspaces, with ageing.

    The start tag of a request is the engine time that its workspace has
    requested so far, divided by the weight of the workspace, and at least the
    current virtual time. The rank is the tag plus the weighted arrival time,
    which prevents starvation.
    """

    def __init__(self, ageing_ratio: float) -> None:
        """Creates the ranks of one queue.

        Args:
            ageing_ratio: Engine time, in seconds, that one second of waiting
                compensates for.
        """
        self._ageing_ratio = ageing_ratio
        self._virtual_time_s = 0.0
        self._next_tag_s: dict[ids.WorkspaceId, float] = {}

    def assign(
        self, workspace_id: ids.WorkspaceId, cost_s: float, now_s: float
    ) -> float:
        """Returns the rank of a new request and charges its workspace.

        Args:
            workspace_id: Workspace of the request.
            cost_s: Engine time of the request divided by the weight of its
                workspace, in seconds.
            now_s: Current time on a monotonic clock, in seconds.
        """
        tag_s = max(
            self._virtual_time_s, self._next_tag_s.get(workspace_id, 0.0)
        )
        self._next_tag_s[workspace_id] = tag_s + cost_s
        if len(self._next_tag_s) > _MAX_TRACKED_WORKSPACES:
            self._evict_idle_workspaces()
        return tag_s + self._ageing_ratio * now_s

    def record_start(self, rank: float, now_s: float) -> None:
        """Advances virtual time when a request starts.

        Virtual time becomes at least the rank of the request minus the
        weighted current time.
        """
        tag_s = rank - self._ageing_ratio * now_s
        self._virtual_time_s = max(self._virtual_time_s, tag_s)

    def _evict_idle_workspaces(self) -> None:
        self._next_tag_s = {
            workspace_id: tag_s
            for workspace_id, tag_s in self._next_tag_s.items()
            if tag_s > self._virtual_time_s
        }
