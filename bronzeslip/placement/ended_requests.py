"""Requests whose coordinators have not been told that they ended."""

import collections
import itertools

from bronzeslip import ids
from bronzeslip.placement import placement_request

# Coordinators forget placements by themselves later, so the oldest ends may be
# dropped while nothing is asked.
_MAX_KEPT = 256
# A shard has four coordinators at most at a time. Those of few shards are asked
# by one gateway; others are gone and are not asked again.
_MAX_COORDINATORS = 64


class EndedRequests:
    """Tracks the requests placed by each coordinator until they end."""

    def __init__(self) -> None:
        self._asked: dict[ids.RequestId, set[ids.VmId]] = {}
        self._ended: dict[ids.VmId, collections.deque[ids.RequestId]] = {}

    def __len__(self) -> int:
        """Returns the number of ends that are not stated yet."""
        return sum(map(len, self._ended.values()))

    def record_asked(
        self, request_id: ids.RequestId, coordinator: ids.VmId
    ) -> None:
        """Records that a coordinator may have placed a request."""
        self._asked.setdefault(request_id, set()).add(coordinator)

    def end(self, request_id: ids.RequestId) -> None:
        """Records that a request has ended or runs elsewhere."""
        for coordinator in self._asked.pop(request_id, ()):
            # The coordinator whose requests ended last is the last one.
            ended = self._ended.pop(coordinator, None)
            if ended is None:
                ended = collections.deque(maxlen=_MAX_KEPT)
            ended.append(request_id)
            self._ended[coordinator] = ended
            if len(self._ended) > _MAX_COORDINATORS:
                del self._ended[next(iter(self._ended))]

    def take(self, coordinator: ids.VmId) -> tuple[ids.RequestId, ...]:
        """Removes and returns the oldest ends to state to a coordinator."""
        ended = self._ended.get(coordinator)
        if ended is None:
            return ()
        count = min(len(ended), placement_request.MAX_ENDED)
        taken = tuple(ended.popleft() for _ in itertools.repeat(None, count))
        if not ended:
            del self._ended[coordinator]
        return taken
