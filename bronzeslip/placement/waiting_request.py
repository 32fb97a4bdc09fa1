"""Generation that waits for a placement."""

import functools

import msgspec

from bronzeslip import ids
from bronzeslip.placement import client_patience
from bronzeslip.placement import placement_ask


class WaitingRequest(msgspec.Struct, frozen=True, dict=True):
    """A generation as of its latest ask.

    Attributes:
        ask: Its latest ask.
        rank: Fair rank, assigned at its first ask.
        can_be_in_time: Whether an endpoint could start it within its objective.
        endpoint_ids: Endpoints that it may be placed at.
        is_aged: Whether it is next whatever its priority.
        expires_s: Time at which it is taken to be gone unless it asks again.
    """

    ask: placement_ask.PlacementAsk
    rank: float
    can_be_in_time: bool
    endpoint_ids: frozenset[ids.EndpointId]
    is_aged: bool = False
    expires_s: float = 0.0

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self.ask.request_id

    @functools.cached_property
    def is_overdue(self) -> bool:
        """Whether it must no longer be held back for other requests."""
        return client_patience.overdue_in_s(self.ask) <= 0

    @functools.cached_property
    def is_held_back(self) -> bool:
        """Whether it may be placed only where it delays no other request."""
        return not self.can_be_in_time and not self.is_overdue

    @property
    def once_late(self) -> "WaitingRequest":
        """The same request after it has missed its objective."""
        return msgspec.structs.replace(self, can_be_in_time=False)

    @functools.cached_property
    def position(self) -> tuple[bool, int, bool, bool, float, str]:
        """Position in the order of waiting requests; the smallest is first."""
        return (
            not self.is_aged,
            self.ask.priority,
            not self.can_be_in_time,
            self.is_held_back,
            self.rank,
            self.request_id,
        )
