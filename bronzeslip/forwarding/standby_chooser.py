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
_MEMORY_LIMIT = 0.9
_UNKNOWN_MEMORY = 0.5
# Keeps gateways that read the same reports from choosing alike.
_SPREAD_COST = 0.1


class StandbyChooser:
    """Chooses an engine with room, near the one that runs the request."""

    def __init__(
        self,
        near: proximity.EndpointProximity,
        known: directory.EndpointDirectory,
        reports: report_cache.ReportCache,
        rng: random.Random,
    ) -> None:
        """Creates a chooser.

        Args:
            near: Tells which engines are near each other.
            known: Endpoints.
            reports: Reports of the engines.
            rng: Source of the small random part of a cost.
        """
        self._near = near
        self._known = known
        self._reports = reports
        self._rng = rng

    def has_ended(self, known: endpoint.Endpoint) -> None:
        """Notes that an engine has ended with its runs."""
        self._near.remove(known)

    def needs_copy_ahead(self, runs_at: endpoint.Endpoint) -> bool:
        """Tells whether a copy made at the notice would come too late.

        While a neighbour copies its own runs to this engine, a slow copy to
        another region would hold these up.
        """
        return not self._near.has_nearby_endpoint(
            runs_at
        ) and not self._near.is_neighbor_evacuating(runs_at)

    def choose(
        self,
        request: admitted.AdmittedRequest,
        runs_at: endpoint.Endpoint,
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
            runs_at: Engine that runs it.
            refused: Engines that have lately refused the copy.
            is_urgent: Whether the engine that runs it is about to end.
        """
        shape = request.request.shape
        size_tokens = shape.expected_tokens if shape else 0
        options = [
            option
            for option in self._known.ready_endpoints(request.service.name)
            if option.endpoint_id != runs_at.endpoint_id
            and option.endpoint_id not in refused
            and (is_urgent or self._has_room(option, size_tokens))
        ]
        near = [
            option
            for option in options
            if self._near.is_same_region(option, runs_at)
        ]
        alone = [option for option in options if self.needs_copy_ahead(option)]
        options = near or alone or (options if is_urgent else [])
        if not options:
            return None
        return min(
            options,
            key=lambda option: self._cost(option, runs_at, size_tokens),
        )

    def _cost(
        self,
        option: endpoint.Endpoint,
        runs_at: endpoint.Endpoint,
        size_tokens: int,
    ) -> float:
        cost = self._memory(option, size_tokens)
        if option.failure_domain != runs_at.failure_domain:
            cost += _OTHER_DOMAIN_COST
        return cost + _SPREAD_COST * self._rng.random()

    def _has_room(self, option: endpoint.Endpoint, size_tokens: int) -> bool:
        return self._memory(option, size_tokens) < _MEMORY_LIMIT

    def _memory(self, option: endpoint.Endpoint, size_tokens: int) -> float:
        dated = self._reports.get(option.endpoint_id)
        if dated is None:
            return _UNKNOWN_MEMORY
        used_tokens = dated.report.used_tokens + size_tokens
        return used_tokens / max(dated.report.memory_tokens, 1)
