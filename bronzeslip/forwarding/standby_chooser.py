"""Selects the engine that stores the standby copy of a run."""

from collections.abc import Set as AbstractSet
import random

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import proximity
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import admitted
from bronzeslip.places import permitted_regions

# A copy to another failure domain occupies the network links twice as long.
_OTHER_DOMAIN_COST = 0.25
# Engines start to preempt runs above this share of memory use.
_MAX_MEMORY_USE = 0.9
# Memory use assumed for an engine without a report.
_DEFAULT_MEMORY_USE = 0.5
# Maximum random cost, so that gateways with the same reports do not all choose
# the same engine.
_JITTER_COST = 0.1


class StandbyChooser:
    """Chooses an engine with free memory near the source engine."""

    def __init__(
        self,
        endpoint_proximity: proximity.EndpointProximity,
        endpoints: directory.EndpointDirectory,
        reports: report_cache.ReportCache,
        regions: permitted_regions.PermittedRegionsFilter,
        rng: random.Random,
    ) -> None:
        """Initializes the chooser.

        Args:
            endpoint_proximity: Determines which engines are near each other.
            endpoints: Directory of the known endpoints.
            reports: Latest reports of the engines.
            regions: Decides which engines a request may reach.
            rng: Source of the random component of a cost.
        """
        self._proximity = endpoint_proximity
        self._endpoints = endpoints
        self._reports = reports
        self._regions = regions
        self._rng = rng

    def record_engine_end(self, engine: endpoint.Endpoint) -> None:
        """Records that an engine has terminated with its runs."""
        self._proximity.remove(engine)

    def needs_advance_copy(self, source: endpoint.Endpoint) -> bool:
        """Returns whether a copy must be made before a shutdown notice.

        Without a neighbour, a copy made after the notice would be too late.
        While a neighbour evacuates its runs to this engine, no copy is made in
        advance: a slow copy to another region would delay the evacuation.
        """
        return not self._proximity.has_nearby_endpoint(
            source
        ) and not self._proximity.is_neighbour_evacuating(source)

    def choose(
        self,
        request: admitted.AdmittedRequest,
        source: endpoint.Endpoint,
        failed_targets: AbstractSet[ids.EndpointId],
        is_urgent: bool,
    ) -> endpoint.Endpoint | None:
        """Returns the engine for a copy, or None if none is available.

        An urgent copy is attempted even if the latest report shows no free
        memory, since the engine has more recent information. A copy to another
        region is slow and delays other copies over the same links. It is sent
        to an engine that has no neighbours that need its memory.

        Args:
            request: Request whose run is copied.
            source: Engine that runs the request.
            failed_targets: Engines to which a copy recently failed.
            is_urgent: Whether the source engine is about to terminate.
        """
        shape = request.request.shape
        size_tokens = shape.expected_tokens if shape else 0
        candidates = [
            candidate
            for candidate in self._endpoints.ready_endpoints(
                request.service.name
            )
            if candidate.endpoint_id != source.endpoint_id
            and candidate.endpoint_id not in failed_targets
            and self._regions.is_eligible(candidate, request.permitted_regions)
            and (is_urgent or self._has_free_memory(candidate, size_tokens))
        ]
        neighbours = [
            candidate
            for candidate in candidates
            if self._proximity.is_same_region(candidate, source)
        ]
        isolated = [
            candidate
            for candidate in candidates
            if self.needs_advance_copy(candidate)
        ]
        candidates = neighbours or isolated or (candidates if is_urgent else [])
        if not candidates:
            return None
        # A run resumes on a limited or cold engine only if that takes more.
        limits = self._endpoints.request_limits
        cold = self._endpoints.cold_endpoints
        candidates = [
            candidate
            for candidate in candidates
            if limits.rate_of(candidate) is None
            and not cold.remaining_s(candidate.endpoint_id, request.service)
        ] or candidates
        return min(
            candidates,
            key=lambda candidate: self._cost(candidate, source, size_tokens),
        )

    def _cost(
        self,
        candidate: endpoint.Endpoint,
        source: endpoint.Endpoint,
        size_tokens: int,
    ) -> float:
        cost = self._memory_use(candidate, size_tokens)
        if candidate.failure_domain != source.failure_domain:
            cost += _OTHER_DOMAIN_COST
        return cost + _JITTER_COST * self._rng.random()

    def _has_free_memory(
        self, candidate: endpoint.Endpoint, size_tokens: int
    ) -> bool:
        return self._memory_use(candidate, size_tokens) < _MAX_MEMORY_USE

    def _memory_use(
        self, candidate: endpoint.Endpoint, size_tokens: int
    ) -> float:
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return _DEFAULT_MEMORY_USE
        used_tokens = latest.report.used_tokens + size_tokens
        return used_tokens / max(latest.report.memory_tokens, 1)
