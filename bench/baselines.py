"""Routing policies that the product's own is measured against."""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random

import xxhash

from bronzeslip import ids
from bronzeslip.routing import candidate
from bronzeslip.routing import policy

_PREFIX_BYTES = 512


class ForgetfulPolicy:
    """Base of policies that keep nothing of what was sent."""

    def record_sent(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Has no use for what was sent."""


class RoundRobinPolicy(ForgetfulPolicy):
    """Takes each endpoint in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates from the next one on."""
        first = next(self._turns) % len(candidates)
        return [*candidates[first:], *candidates[:first]]


class RankedPolicy(ForgetfulPolicy):
    """Orders by a rank and breaks ties at random."""

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
        """Returns the candidates by rank."""
        return sorted(
            candidates,
            key=lambda option: (self._rank(option), self._rng.random()),
        )


class PrefixAffinityPolicy(ForgetfulPolicy):
    """Orders by rendezvous hashing of the start of the prompt."""

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates by their hash with the prefix."""
        prefix = request.prompt[:_PREFIX_BYTES]
        return sorted(
            candidates,
            key=lambda option: xxhash.xxh64_intdigest(
                f"{option.endpoint.endpoint_id} {prefix}".encode()
            ),
        )


def least_outstanding(rng: random.Random) -> RankedPolicy:
    """Returns the policy that counts the gateway's own requests."""
    return RankedPolicy(lambda option: option.outstanding, rng)


def least_reported(rng: random.Random) -> RankedPolicy:
    """Returns the policy that goes by the load last heard."""
    return RankedPolicy(
        lambda option: option.load.running + option.load.queued, rng
    )
