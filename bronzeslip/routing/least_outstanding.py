"""Least-outstanding-requests routing policy."""

from collections.abc import Sequence
import random

from bronzeslip import ids
from bronzeslip.routing import candidate
from bronzeslip.routing import policy


class LeastOutstandingPolicy:
    """Prefers endpoints of the same region, then those with less work."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates ordered by region and load, best first."""

        def rank(option: candidate.Candidate) -> tuple[bool, bool, int, float]:
            return (
                option.load.draining,
                option.endpoint.region != request.region,
                max(
                    option.outstanding,
                    option.load.running + option.load.queued,
                ),
                self._rng.random(),
            )

        return sorted(candidates, key=rank)

    def record_accepted(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Does nothing: this policy keeps no record of requests."""
