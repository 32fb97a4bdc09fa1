"""Routing policy based on cached prefixes, load and region."""

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

# Minimum share of a shared prefix assumed to be cached at a home endpoint.
_HOME_CACHED_RATIO = 0.5
_TIE_BREAK_RATIO = 0.02
_TIE_BREAK_S = 0.0005


class PrefixLoadPolicy:
    """Minimizes the expected total waiting time of all callers.

    Rendezvous hashing assigns home endpoints to each shared prefix, so
    gateways agree on them without communication. The number of homes grows
    with the prefix's share of the requests. Reported cached prefixes, or the
    requests sent by this gateway where no recent report exists, refine the
    estimate of what each endpoint has cached.
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
        """Returns the candidates ordered by expected cost, cheapest first."""
        hashes = prompt_blocks.prefix_hashes(request.prompt)
        self._popularity.add(hashes)
        homes = self._home_endpoints(hashes, candidates)
        pool_statistics = _pool_statistics(candidates)

        def rank(option: candidate.Candidate) -> tuple[bool, float]:
            cost = endpoint_cost.estimate_cost(
                option,
                pool_statistics,
                self._settings,
                self._uncached_bytes(option, request, hashes, homes),
                option.endpoint.region == request.region,
            )
            noise = self._rng.random()
            total_s = cost.total_s * (1 + _TIE_BREAK_RATIO * noise)
            return option.load.draining, total_s + _TIE_BREAK_S * noise

        return sorted(candidates, key=rank)

    def record_accepted(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Records that an endpoint accepted a request."""
        hashes = prompt_blocks.prefix_hashes(request.prompt)
        self._index_of(endpoint_id).add(hashes)

    def _home_endpoints(
        self,
        hashes: tuple[int, ...],
        candidates: Sequence[candidate.Candidate],
    ) -> set[ids.EndpointId]:
        shared_block_count = self._popularity.shared_block_count(hashes)
        if not shared_block_count:
            return set()
        prefix = hashes[shared_block_count - 1]
        prompt_fraction = self._popularity.prompt_fraction(prefix)
        count = math.ceil(
            prompt_fraction
            * len(candidates)
            * self._settings.prefix_spread_factor
        )
        endpoint_ids = [option.endpoint.endpoint_id for option in candidates]
        endpoint_ids.sort(
            key=lambda endpoint_id: _rendezvous_hash(endpoint_id, prefix)
        )
        return set(endpoint_ids[: max(count, self._settings.prefix_min_homes)])

    def _uncached_bytes(
        self,
        option: candidate.Candidate,
        request: policy.RoutingRequest,
        hashes: tuple[int, ...],
        homes: set[ids.EndpointId],
    ) -> float:
        endpoint_id = option.endpoint.endpoint_id
        cached_blocks = float(self._cached_blocks(option, hashes))
        if endpoint_id in homes:
            shared_block_count = self._popularity.shared_block_count(hashes)
            cached_blocks = max(
                cached_blocks, _HOME_CACHED_RATIO * shared_block_count
            )
        return max(
            len(request.prompt) - cached_blocks * prompt_blocks.BLOCK_BYTES, 0.0
        )

    def _cached_blocks(
        self, option: candidate.Candidate, hashes: tuple[int, ...]
    ) -> int:
        reported_prefixes = option.load.cached_prefixes
        if (
            reported_prefixes is None
            or option.load_age_s > self._settings.load_trust_s
        ):
            index = self._index_of(option.endpoint.endpoint_id)
            return index.count_cached(hashes)
        for count in range(len(hashes), 0, -1):
            if hashes[count - 1] in reported_prefixes:
                return count
        return 0

    def _index_of(
        self, endpoint_id: ids.EndpointId
    ) -> prefix_index.PrefixIndex:
        index = self._indexes.get(endpoint_id)
        if index is None:
            index = self._indexes[endpoint_id] = prefix_index.PrefixIndex(
                self._settings.prefix_index_blocks
            )
        return index


def _rendezvous_hash(endpoint_id: ids.EndpointId, prefix: int) -> int:
    return xxhash.xxh64_intdigest(endpoint_id.encode(), seed=prefix)


def _pool_statistics(
    candidates: Sequence[candidate.Candidate],
) -> endpoint_cost.PoolStatistics:
    loads = [option.load for option in candidates]
    step_times_s = [load.step_time_s for load in loads if load.step_time_s > 0]
    return endpoint_cost.PoolStatistics(
        statistics.median(load.memory_peak_ratio for load in loads),
        statistics.median(load.running for load in loads),
        statistics.median(step_times_s) if step_times_s else 1.0,
    )
