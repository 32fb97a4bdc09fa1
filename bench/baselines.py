"""Baseline routing policies for comparison with the product's policy."""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random

import xxhash

from bronzeslip import ids
from bronzeslip.routing import candidate
from bronzeslip.routing import policy

_PREFIX_BYTES = 512


class StatelessPolicy:
    """Base of policies that keep no state about sent requests."""

    def record_accepted(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Ignores the accepted request."""


class RoundRobinPolicy(StatelessPolicy):
    """Selects the endpoints in rotation."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates, rotated by one more place per call."""
        offset = next(self._counter) % len(candidates)
        return [*candidates[offset:], *candidates[:offset]]


class RankedPolicy(StatelessPolicy):
    """Orders candidates by ascending rank and breaks ties at random."""

    def __init__(
        self,
        rank: Callable[[candidate.Candidate], float],
        rng: random.Random,
    ) -> None:
        self._rank = rank
        self._rng = rng

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates sorted by rank."""
        return sorted(
            candidates,
            key=lambda option: (self._rank(option), self._rng.random()),
        )


class PrefixAffinityPolicy(StatelessPolicy):
    """Orders candidates by rendezvous hashing of the prompt prefix."""

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates sorted by the hash of endpoint and prefix."""
        prefix = request.prompt[:_PREFIX_BYTES]
        return sorted(
            candidates,
            key=lambda option: xxhash.xxh64_intdigest(
                f"{option.endpoint.endpoint_id} {prefix}".encode()
            ),
        )


def least_outstanding(rng: random.Random) -> RankedPolicy:
    """Returns the policy that prefers the fewest outstanding requests.

    Only the requests of this gateway are counted.
    """
    return RankedPolicy(lambda option: option.outstanding, rng)


def least_reported(rng: random.Random) -> RankedPolicy:
    """Returns the policy that prefers the lowest load last reported."""
    return RankedPolicy(
        lambda option: option.load.running + option.load.queued, rng
    )
