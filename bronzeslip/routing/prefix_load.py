"""Policy that weighs cached prefixes, load and distance."""

from collections.abc import Sequence
import math
import random
import statistics

import xxhash

from bronzeslip import ids
from bronzeslip.routing import candidate
from bronzeslip.routing import endpoint_cost
from bronzeslip.routing import policy
from bronzeslip.routing import prefix_index
from bronzeslip.routing import prefix_popularity
from bronzeslip.routing import prompt_blocks
from bronzeslip.settings import gateway

_HOME_BELIEF = 0.5
_TIE_NOISE = 0.02
_TIE_NOISE_S = 0.0005


class PrefixLoadPolicy:
    """Sends a request where callers wait least in all.

    A shared prefix has home endpoints by rendezvous hashing, so gateways
    agree on them without talking; how many grows with the prefix's share of
    the requests. What was sent where corrects that belief.
    """

    def __init__(
        self, settings: gateway.GatewaySettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._popularity = prefix_popularity.PrefixPopularity()
        self._indexes: dict[ids.EndpointId, prefix_index.PrefixIndex] = {}

    def order(
        self,
        request: policy.RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates, the cheapest first."""
        hashes = prompt_blocks.hashes_of(request.prompt)
        self._popularity.add(hashes)
        homes = self._homes(hashes, candidates)
        pool = _pool_view(candidates)

        def rank(option: candidate.Candidate) -> tuple[bool, float]:
            cost = endpoint_cost.cost_of(
                option,
                pool,
                self._settings,
                self._uncached_bytes(option, request, hashes, homes),
                option.endpoint.region == request.region,
            )
            noise = self._rng.random()
            total_s = cost.total_s * (1 + _TIE_NOISE * noise)
            return option.load.draining, total_s + _TIE_NOISE_S * noise

        return sorted(candidates, key=rank)

    def sent(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Notes that an endpoint took a request."""
        hashes = prompt_blocks.hashes_of(request.prompt)
        self._index(endpoint_id).add(hashes)

    def _homes(
        self,
        hashes: tuple[int, ...],
        candidates: Sequence[candidate.Candidate],
    ) -> set[ids.EndpointId]:
        shared = self._popularity.shared_blocks(hashes)
        if not shared:
            return set()
        prefix = hashes[shared - 1]
        share = self._popularity.share(prefix)
        count = math.ceil(
            share * len(candidates) * self._settings.prefix_spread_factor
        )
        names = [option.endpoint.endpoint_id for option in candidates]
        names.sort(key=lambda name: _rendezvous(name, prefix))
        return set(names[: max(count, self._settings.prefix_min_homes)])

    def _uncached_bytes(
        self,
        option: candidate.Candidate,
        request: policy.RoutingRequest,
        hashes: tuple[int, ...],
        homes: set[ids.EndpointId],
    ) -> float:
        endpoint_id = option.endpoint.endpoint_id
        cached = float(self._cached_blocks(option, hashes))
        if endpoint_id in homes:
            shared = self._popularity.shared_blocks(hashes)
            cached = max(cached, _HOME_BELIEF * shared)
        return max(
            len(request.prompt) - cached * prompt_blocks.BLOCK_BYTES, 0.0
        )

    def _cached_blocks(
        self, option: candidate.Candidate, hashes: tuple[int, ...]
    ) -> int:
        told = option.load.cached_prefixes
        if told is None or option.load_age_s > self._settings.load_trust_s:
            index = self._index(option.endpoint.endpoint_id)
            return index.count_cached(hashes)
        for count in range(len(hashes), 0, -1):
            if hashes[count - 1] in told:
                return count
        return 0

    def _index(self, endpoint_id: ids.EndpointId) -> prefix_index.PrefixIndex:
        found = self._indexes.get(endpoint_id)
        if found is None:
            found = self._indexes[endpoint_id] = prefix_index.PrefixIndex(
                self._settings.prefix_index_blocks
            )
        return found


def _rendezvous(endpoint_id: ids.EndpointId, prefix: int) -> int:
    return xxhash.xxh64_intdigest(endpoint_id.encode(), seed=prefix)


def _pool_view(
    candidates: Sequence[candidate.Candidate],
) -> endpoint_cost.PoolView:
    known = [option.load for option in candidates]
    steps = [load.step_time_s for load in known if load.step_time_s > 0]
    return endpoint_cost.PoolView(
        statistics.median(load.memory_peak_ratio for load in known),
        statistics.median(load.running for load in known),
        statistics.median(steps) if steps else 1.0,
    )
