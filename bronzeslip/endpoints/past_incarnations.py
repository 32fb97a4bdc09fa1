"""Incarnations of endpoints that must not be used again."""

from bronzeslip import ids
from bronzeslip.endpoints import endpoint

# Far more than the endpoints that leave within the time by which the store may
# go back.
_MAX_ENTRIES = 4096


class PastIncarnations:
    """Bounded set with the newest incarnation of each endpoint."""

    def __init__(self) -> None:
        self._by_id: dict[ids.EndpointId, endpoint.Endpoint] = {}

    def add(self, target: endpoint.Endpoint) -> None:
        """Adds an incarnation in place of an earlier one of that endpoint."""
        self._by_id.pop(target.endpoint_id, None)
        self._by_id[target.endpoint_id] = target
        if len(self._by_id) > _MAX_ENTRIES:
            del self._by_id[next(iter(self._by_id))]

    def discard(self, target: endpoint.Endpoint) -> None:
        """Removes an incarnation if it is in the set."""
        if target in self:
            del self._by_id[target.endpoint_id]

    def __contains__(self, target: endpoint.Endpoint) -> bool:
        """Returns whether this incarnation is in the set."""
        known = self._by_id.get(target.endpoint_id)
        return known is not None and known.is_same_incarnation(target)
