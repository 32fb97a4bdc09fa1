"""Selects the endpoint for a request."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
import math
import random
from typing import Protocol

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_tracker
from bronzeslip.endpoints import proximity
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import endpoint_cost
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import load_forecast
from bronzeslip.places import permitted_regions
from bronzeslip.places import refusal_delay

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 0.5
# Gateways that read the same reports would all choose the same endpoint. Costs
# that differ by less than this are therefore treated as nearly equal.
_SOFTMAX_TEMPERATURE_S = 0.1


class EndpointChooser(Protocol):
    """Chooses the endpoint that a request is sent to."""

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the endpoint to send a request to.

        Args:
            request: Request to send.
            tried: Endpoints that have already been tried.

        Raises:
            errors.NotRunError: If no endpoint is left.
        """

    def candidates(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        rng: random.Random,
    ) -> list[endpoint.Endpoint]:
        """Returns the endpoints to choose from, without choosing one.

        Args:
            request: Request to send.
            tried: Endpoints that have already been tried.
            rng: Spreads the retry times of refused requests.

        Raises:
            errors.NotRunError: If no endpoint is left.
        """

    def preferred(
        self,
        request: admitted.AdmittedRequest,
        candidates: Sequence[endpoint.Endpoint],
    ) -> endpoint.Endpoint:
        """Returns the best of some candidates, without choosing it."""

    def cost_s(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        """Returns the cost of sending a request to an endpoint, in seconds."""


class CostChooser:
    """Selects an endpoint at random, weighted by a softmax over the costs."""

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
        watched: watched_endpoints.WatchedEndpoints,
        endpoint_proximity: proximity.EndpointProximity,
        load_forecaster: load_forecast.LoadForecaster,
        failures: failure_tracker.FailureTracker,
        connections: connection_share.ConnectionShare,
        regions: permitted_regions.PermittedRegionsFilter,
        rng: random.Random,
    ) -> None:
        """Initializes the chooser.

        Args:
            this_vm: Location of this gateway and region of each failure domain.
            endpoints: Directory of the known endpoints.
            watched: Endpoints that this gateway chooses from.
            endpoint_proximity: Determines which endpoints are near each other.
            load_forecaster: Forecasts the load of endpoints.
            failures: Recent failures of endpoints.
            connections: Limits the requests in flight at an endpoint.
            regions: Decides which endpoints a request may reach.
            rng: Source of random choices.
        """
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._watched = watched
        self._proximity = endpoint_proximity
        self._load_forecaster = load_forecaster
        self._cost = endpoint_cost.EndpointCost(this_vm, failures)
        self._connections = connections
        self._regions = regions
        self._rng = rng

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the selected endpoint.

        Raises:
            errors.OverloadedError: If no endpoint has a free connection or
                could start the request in time.
            errors.NotRunError: If no endpoint is left.
        """
        candidates = self.candidates(request, tried, self._rng)
        costs_s = [self.cost_s(candidate, request) for candidate in candidates]
        lowest_s = min(costs_s)
        weights = [
            math.exp((lowest_s - cost_s) / _SOFTMAX_TEMPERATURE_S)
            for cost_s in costs_s
        ]
        self._load_forecaster.record_prompt_length(request)
        index = self._rng.choices(range(len(candidates)), weights)[0]
        self._log_choice(request, candidates[index], costs_s, index)
        return candidates[index]

    def candidates(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        rng: random.Random,
    ) -> list[endpoint.Endpoint]:
        """Returns the endpoints to choose from, without choosing one.

        Args:
            request: Request to send.
            tried: Endpoints that have already been tried.
            rng: Spreads the retry times of refused requests.

        Raises:
            errors.OverloadedError: If no endpoint has a free connection or
                could start the request in time.
            errors.NotRunError: If no endpoint is left.
        """
        candidates = [
            candidate
            for candidate in self._watched.for_service(request.service.name)
            if candidate.endpoint_id not in tried
            and self._regions.is_eligible(candidate, request.permitted_regions)
        ] or ready_candidates(
            self._endpoints, self._regions, request, tried, rng
        )
        candidates = self._with_free_connection(candidates, request)
        self._reject_if_too_late(request, candidates)
        return candidates

    def preferred(
        self,
        request: admitted.AdmittedRequest,
        candidates: Sequence[endpoint.Endpoint],
    ) -> endpoint.Endpoint:
        """Returns the candidate with the least cost."""
        return min(
            candidates, key=lambda candidate: self.cost_s(candidate, request)
        )

    def _with_free_connection(
        self,
        candidates: list[endpoint.Endpoint],
        request: admitted.AdmittedRequest,
    ) -> list[endpoint.Endpoint]:
        available = [
            candidate
            for candidate in candidates
            if self._connections.has_free_connection(candidate, request.service)
        ]
        if not available:
            raise errors.OverloadedError(
                "no endpoint of this gateway has a free connection",
                retry_after_s=_RETRY_AFTER_S,
            )
        return available

    def _reject_if_too_late(
        self,
        request: admitted.AdmittedRequest,
        candidates: list[endpoint.Endpoint],
    ) -> None:
        """Raises an error if queued prompts take longer than the request has.

        The caller is asked to retry once the queue is short enough.

        Raises:
            errors.OverloadedError: If no endpoint could start in time.
        """
        wait_s = min(
            self._load_forecaster.forecast(candidate, request).prefill_s
            for candidate in candidates
        )
        overrun_s = wait_s - request.remaining_s
        if wait_s > 0 and overrun_s > 0:
            raise errors.OverloadedError(
                f"every endpoint has at least {wait_s:.1f} s of queued prompts",
                retry_after_s=max(overrun_s, _RETRY_AFTER_S),
            )

    def _log_choice(
        self,
        request: admitted.AdmittedRequest,
        chosen: endpoint.Endpoint,
        costs_s: list[float],
        index: int,
    ) -> None:
        forecast = self._load_forecaster.forecast(chosen, request)
        age_s = self._load_forecaster.report_age_s(chosen)
        logger.info(
            "request.chosen",
            request=request.request.request_id,
            endpoint=chosen.endpoint_id,
            options=len(costs_s),
            cost_s=round(costs_s[index], 3),
            least_cost_s=round(min(costs_s), 3),
            crowding=round(forecast.slot_load, 2),
            memory=round(forecast.memory_use, 2),
            prefill_s=round(forecast.prefill_s, 3),
            report_age_s=None if age_s is None else round(age_s, 2),
            pace=round(forecast.pace, 2),
        )

    def cost_s(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        """Returns the cost of sending a request to an endpoint, in seconds."""
        forecast = self._load_forecaster.forecast(candidate, request)
        cost_s = self._cost.cost_s(
            candidate, forecast, self._this_vm.failure_domain
        )
        if not is_long_generation(request):
            return cost_s
        cost_s += endpoint_cost.pause_risk_cost_s(forecast)
        if not self._can_be_evacuated(candidate, request):
            cost_s += endpoint_cost.evacuation_risk_cost_s(
                candidate,
                request.request.shape.output_estimate_tokens,
                forecast,
            )
        return cost_s

    def _can_be_evacuated(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> bool:
        """Returns whether neighbours could take all runs of an engine.

        The memory in use at all nearby engines has to fit into all but one of
        them. Engines that this gateway does not poll count with the mean use.
        """
        nearby = self._proximity.nearby_endpoints(candidate)
        watched_engines = self._watched.for_service(request.service.name)
        used_tokens = sum(
            self._load_forecaster.used_tokens(engine)
            if engine in watched_engines
            else self._load_forecaster.mean_used_tokens()
            for engine in nearby
        )
        return endpoint_cost.can_be_evacuated(
            used_tokens,
            request.request.shape.expected_tokens,
            len(nearby),
            request.service.engine.memory_tokens,
        )


class RoundRobinChooser:
    """Selects the ready endpoints in turn, as a baseline for benchmarks."""

    def __init__(
        self,
        endpoints: directory.EndpointDirectory,
        regions: permitted_regions.PermittedRegionsFilter,
        rng: random.Random,
    ) -> None:
        self._endpoints = endpoints
        self._regions = regions
        self._rng = rng
        self._next_index = 0

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the next endpoint."""
        candidates = self.candidates(request, tried, self._rng)
        chosen = self.preferred(request, candidates)
        self._next_index += 1
        return chosen

    def candidates(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        rng: random.Random,
    ) -> list[endpoint.Endpoint]:
        """Returns the ready endpoints, without choosing one."""
        return ready_candidates(
            self._endpoints, self._regions, request, tried, rng
        )

    def preferred(
        self,
        request: admitted.AdmittedRequest,
        candidates: Sequence[endpoint.Endpoint],
    ) -> endpoint.Endpoint:
        """Returns the candidate whose turn is next."""
        del request
        return candidates[(self._next_index + 1) % len(candidates)]

    def cost_s(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        """Returns 0, since costs are not compared."""
        del candidate, request
        return 0.0


def is_long_generation(request: admitted.AdmittedRequest) -> bool:
    """Returns whether a request is a generation that may outlive its engine."""
    shape = request.request.shape
    if request.service.engine is None or shape is None:
        return False
    return shape.max_output_tokens >= load_forecast.LONG_OUTPUT_TOKENS


def ready_candidates(
    endpoints: directory.EndpointDirectory,
    regions: permitted_regions.PermittedRegionsFilter,
    request: admitted.AdmittedRequest,
    tried: AbstractSet[ids.EndpointId],
    rng: random.Random,
) -> list[endpoint.Endpoint]:
    """Returns the eligible ready endpoints that have not been tried yet.

    Args:
        endpoints: Directory of the known endpoints.
        regions: Decides which endpoints a request may reach.
        request: Request to send.
        tried: Endpoints that have already been tried.
        rng: Spreads the retry times of refused requests.

    Raises:
        errors.NoEligibleEndpointError: If no endpoint is in a place that the
            request may be sent to.
        errors.NotRunError: If no endpoint is left for another reason.
    """
    eligible = [
        candidate
        for candidate in endpoints.ready_endpoints(request.service.name)
        if regions.is_eligible(candidate, request.permitted_regions)
    ]
    candidates = [
        candidate
        for candidate in eligible
        if candidate.endpoint_id not in tried
    ]
    if not candidates:
        raise _no_candidate_error(endpoints, regions, request, eligible, rng)
    return candidates


def _no_candidate_error(
    endpoints: directory.EndpointDirectory,
    regions: permitted_regions.PermittedRegionsFilter,
    request: admitted.AdmittedRequest,
    eligible: list[endpoint.Endpoint],
    rng: random.Random,
) -> errors.NotRunError:
    service_name = request.service.name

    def is_eligible(candidate: endpoint.Endpoint) -> bool:
        return regions.is_eligible(candidate, request.permitted_regions)

    pause_s = endpoints.shortest_pause_s(service_name, is_eligible)
    if eligible or pause_s is not None:
        return errors.NotRunError(
            f"service {service_name} has no available endpoint",
            retry_after_s=_RETRY_AFTER_S if pause_s is None else pause_s,
        )
    if any(
        map(is_eligible, endpoints.ready_or_evacuated_endpoints(service_name))
    ):
        return errors.EvacuatedError(
            f"all endpoints of service {service_name} that may receive the "
            "request are evacuated",
            retry_after_s=refusal_delay.draw_s(rng),
        )
    if request.permitted_regions is not None:
        return errors.NoEligibleEndpointError(
            f"service {service_name} has no available endpoint in the allowed "
            "regions",
            retry_after_s=refusal_delay.draw_s(rng),
        )
    return errors.NotRunError(
        f"service {service_name} has no available endpoint",
        retry_after_s=_RETRY_AFTER_S,
    )
