"""Order of waiting requests by fair share and age."""

from collections.abc import Iterator
import operator

import sortedcontainers

from bronzeslip import ids
from bronzeslip.admission import pending

_MAX_IDLE_WORKSPACES = 10_000


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
        self._virtual_s = 0.0
        self._next_tag_s: dict[ids.WorkspaceId, float] = {}
        self._by_class: dict[bool, sortedcontainers.SortedKeyList] = {
            is_interactive: sortedcontainers.SortedKeyList(
                key=operator.attrgetter("rank")
            )
            for is_interactive in (True, False)
        }
        self.cost_s = 0.0

    def __len__(self) -> int:
        return sum(len(line) for line in self._by_class.values())

    def rank(self, added: pending.Pending, now_s: float) -> None:
        """Gives a request its place and charges its workspace."""
        workspace_id = added.request.workspace_id
        tag_s = max(self._virtual_s, self._next_tag_s.get(workspace_id, 0.0))
        share_s = added.cost_s / added.request.weight
        self._next_tag_s[workspace_id] = tag_s + share_s
        added.rank = tag_s + self._ageing_ratio * now_s
        if len(self._next_tag_s) > _MAX_IDLE_WORKSPACES:
            self._forget_idle()

    def add(self, added: pending.Pending) -> None:
        """Takes a ranked request in."""
        self._by_class[added.is_interactive].add(added)
        self.cost_s += added.cost_s

    def remove(self, removed: pending.Pending) -> None:
        """Takes a request out that is not to be admitted."""
        self._by_class[removed.is_interactive].remove(removed)
        self.cost_s = max(self.cost_s - removed.cost_s, 0.0)

    def heads(self) -> Iterator[pending.Pending]:
        """Yields the first request of each class, the best first."""
        heads = [line[0] for line in self._by_class.values() if line]
        yield from sorted(heads, key=operator.attrgetter("rank"))

    def admit(self, admitted: pending.Pending, now_s: float) -> None:
        """Notes that a request got its place."""
        tag_s = admitted.rank - self._ageing_ratio * now_s
        self._virtual_s = max(self._virtual_s, tag_s)

    def count(self, is_interactive: bool) -> int:
        """Returns how many of a class wait."""
        return len(self._by_class[is_interactive])

    def _forget_idle(self) -> None:
        self._next_tag_s = {
            workspace_id: tag_s
            for workspace_id, tag_s in self._next_tag_s.items()
            if tag_s > self._virtual_s
        }
