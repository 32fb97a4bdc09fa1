"""Choice of the engine that keeps the standby copy of a run."""

from collections.abc import Set as AbstractSet
import random

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import proximity
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import admitted

# A copy to another failure domain takes the links twice as long.
_OTHER_DOMAIN_COST = 0.25
# Above this share of its memory an engine starts to preempt runs.
_MAX_MEMORY_USE = 0.9
_DEFAULT_MEMORY_USE = 0.5
# Keeps gateways that read the same reports from choosing alike.
_JITTER_COST = 0.1


class StandbyChooser:
    """Chooses an engine with room, near the one that runs the request."""

    def __init__(
        self,
        neighbours: proximity.EndpointProximity,
        endpoints: directory.EndpointDirectory,
        reports: report_cache.ReportCache,
        rng: random.Random,
    ) -> None:
        """Creates a chooser.

        Args:
            neighbours: Tells which engines are near each other.
            endpoints: Endpoints.
            reports: Reports of the engines.
            rng: Source of the small random part of a cost.
        """
        self._neighbours = neighbours
        self._endpoints = endpoints
        self._reports = reports
        self._rng = rng

    def record_engine_end(self, engine: endpoint.Endpoint) -> None:
        """Notes that an engine has ended with its runs."""
        self._neighbours.remove(engine)

    def needs_advance_copy(self, source: endpoint.Endpoint) -> bool:
        """Tells whether a copy made at the notice would come too late.

        While a neighbour copies its own runs to this engine, a slow copy to
        another region would hold these up.
        """
        return not self._neighbours.has_nearby_endpoint(
            source
        ) and not self._neighbours.is_neighbor_evacuating(source)

    def choose(
        self,
        request: admitted.AdmittedRequest,
        source: endpoint.Endpoint,
        refused: AbstractSet[ids.EndpointId],
        is_urgent: bool,
    ) -> endpoint.Endpoint | None:
        """Returns the engine for a copy, or None if there is none now.

        An urgent copy is tried even where the last report shows no room: the
        engine knows better. A copy to another region is slow and holds up
        other copies over the same links; it goes to an engine that has no
        neighbours to serve.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            refused: Engines that have lately refused the copy.
            is_urgent: Whether the engine that runs it is about to end.
        """
        shape = request.request.shape
        size_tokens = shape.expected_tokens if shape else 0
        candidates = [
            candidate
            for candidate in self._endpoints.ready_endpoints(
                request.service.name
            )
            if candidate.endpoint_id != source.endpoint_id
            and candidate.endpoint_id not in refused
            and (is_urgent or self._has_room(candidate, size_tokens))
        ]
        neighbours = [
            candidate
            for candidate in candidates
            if self._neighbours.is_same_region(candidate, source)
        ]
        isolated = [
            candidate
            for candidate in candidates
            if self.needs_advance_copy(candidate)
        ]
        candidates = neighbours or isolated or (candidates if is_urgent else [])
        if not candidates:
            return None
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

    def _has_room(self, candidate: endpoint.Endpoint, size_tokens: int) -> bool:
        return self._memory_use(candidate, size_tokens) < _MAX_MEMORY_USE

    def _memory_use(
        self, candidate: endpoint.Endpoint, size_tokens: int
    ) -> float:
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return _DEFAULT_MEMORY_USE
        used_tokens = latest.report.used_tokens + size_tokens
        return used_tokens / max(latest.report.memory_tokens, 1)
