"""Ids of the requests that a connection has carried last."""

from bronzeslip import ids

# A response is sent once more soon after the first time.
_MAX_IDS = 50


class RecentRequestIds:
    """Remembers a bounded number of request ids, the most recent ones."""

    def __init__(self) -> None:
        """Creates an empty memory."""
        # A dictionary keeps the order in which ids were added.
        self._ids: dict[str, None] = {}

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._ids

    def add(self, request_id: ids.RequestId) -> None:
        """Adds an id and forgets the oldest one if there are too many."""
        self._ids[request_id] = None
        if len(self._ids) > _MAX_IDS:
            del self._ids[next(iter(self._ids))]
