"""Choice of the endpoint for a request."""

from collections.abc import Set as AbstractSet
import math
import random
from typing import Protocol

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_memory
from bronzeslip.endpoints import neighbourhood
from bronzeslip.endpoints import watched_share
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import load_forecast

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 0.5
# Costs are in seconds that a caller waits. One failure weighs as much as half
# a second, so that two of them outweigh a usual queue.
_FAILURE_COST_S = 0.5
_CROWDING_COST_S = 0.3
_OTHER_DOMAIN_COST_S = 0.02
_OTHER_REGION_COST_S = 0.04
_COLD_COST_S = 0.3
# A long generation is lost with an engine whose neighbours have no room: half
# a second for an output of 1,000 tokens.
_UNSAFE_TOKEN_COST_S = 0.0005
# Runs of such an engine share its link for copies to other regions.
_UNSAFE_RUN_COST_S = 0.05
# Share of the memory that neighbours are filled to when one of them leaves.
_EVACUATION_SHARE = 0.8
# Outputs shorter than this are over before an engine that leaves ends.
_LONG_OUTPUT_TOKENS = 100
# Engines preempt runs when their memory is full.
_MEMORY_START = 0.6
_MEMORY_COST_S = 8.0
# Gateways that read the same reports would choose alike. Costs that differ by
# less than this are therefore treated as near to equal.
_SPREAD_COST_S = 0.1


class Chooser(Protocol):
    """Chooses endpoints."""

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the endpoint to send a request to.

        Raises:
            errors.NotRunError: If there is none left.
        """


class CostChooser:
    """Draws among the endpoints, those that cost least most often."""

    def __init__(
        self,
        here: vm_config.VmConfig,
        known: directory.EndpointDirectory,
        share: watched_share.WatchedShare,
        near: neighbourhood.Neighbourhood,
        loads: load_forecast.LoadForecaster,
        failures: failure_memory.FailureMemory,
        connections: connection_share.ConnectionShare,
        rng: random.Random,
    ) -> None:
        """Creates a chooser.

        Args:
            here: Place of this gateway.
            known: Endpoints.
            share: Endpoints that this gateway chooses from.
            near: Tells which endpoints are near each other.
            loads: Forecasts the load of endpoints.
            failures: Failures of endpoints.
            connections: Bounds the requests under way at an endpoint.
            rng: Source of the draws.
        """
        self._here = here
        self._known = known
        self._share = share
        self._near = near
        self._loads = loads
        self._failures = failures
        self._connections = connections
        self._rng = rng

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the endpoint drawn.

        Raises:
            errors.OverloadedError: If none would begin in time.
            errors.NotRunError: If there is none left.
        """
        options = [
            option
            for option in self._share.of_service(request.service.name)
            if option.endpoint_id not in tried
        ] or ready_options(self._known, request, tried)
        options = self._with_connections_left(options, request)
        self._refuse_if_too_late(request, options)
        costs_s = [self.cost_s(option, request) for option in options]
        least_s = min(costs_s)
        weights = [
            math.exp((least_s - cost_s) / _SPREAD_COST_S) for cost_s in costs_s
        ]
        self._loads.note_prompt(request)
        index = self._rng.choices(range(len(options)), weights)[0]
        self._log_choice(request, options[index], costs_s, index)
        return options[index]

    def _with_connections_left(
        self,
        options: list[endpoint.Endpoint],
        request: admitted.AdmittedRequest,
    ) -> list[endpoint.Endpoint]:
        found = [
            option
            for option in options
            if self._connections.has_room(option, request.service)
        ]
        if not found:
            raise errors.OverloadedError(
                "no endpoint of this gateway has a connection left",
                retry_after_s=_RETRY_AFTER_S,
            )
        return found

    def _refuse_if_too_late(
        self,
        request: admitted.AdmittedRequest,
        options: list[endpoint.Endpoint],
    ) -> None:
        """Raises if the prompts that wait fill the time of a request.

        Its place is free again once they have been read.
        """
        wait_s = min(
            self._loads.forecast(option, request).prefill_s
            for option in options
        )
        late_s = wait_s - request.left_s
        if wait_s > 0 and late_s > 0:
            raise errors.OverloadedError(
                f"prompts of {wait_s:.1f} s wait at every endpoint",
                retry_after_s=max(late_s, _RETRY_AFTER_S),
            )

    def _log_choice(
        self,
        request: admitted.AdmittedRequest,
        chosen: endpoint.Endpoint,
        costs_s: list[float],
        index: int,
    ) -> None:
        forecast = self._loads.forecast(chosen, request)
        age_s = self._loads.report_age_s(chosen)
        logger.info(
            "request.chosen",
            request=request.request.request_id,
            endpoint=chosen.endpoint_id,
            options=len(costs_s),
            cost_s=round(costs_s[index], 3),
            least_cost_s=round(min(costs_s), 3),
            crowding=round(forecast.crowding, 2),
            memory=round(forecast.memory, 2),
            prefill_s=round(forecast.prefill_s, 3),
            report_age_s=None if age_s is None else round(age_s, 2),
        )

    def cost_s(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        """Returns what a request would cost at an endpoint, in seconds."""
        forecast = self._loads.forecast(option, request)
        pressure = max(forecast.memory - _MEMORY_START, 0.0)
        cost_s = forecast.prefill_s + _CROWDING_COST_S * forecast.crowding
        cost_s += _MEMORY_COST_S * pressure * pressure
        cost_s += _FAILURE_COST_S * self._failures.score_of(option.endpoint_id)
        cost_s += _COLD_COST_S if option.cold_left_s > 0 else 0.0
        cost_s += self._distance_s(option)
        if is_long(request) and not self._could_be_evacuated(option, request):
            cost_s += self._unsafe_cost_s(option, request, forecast)
        return cost_s

    def _could_be_evacuated(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> bool:
        """Tells whether neighbours would have room if an engine left.

        The memory of all engines around has to fit into all but one.
        """
        around = self._near.around(option)
        capacity_tokens = request.service.engine.memory_tokens
        room_tokens = _EVACUATION_SHARE * capacity_tokens * (len(around) - 1)
        read = self._share.of_service(request.service.name)
        used_tokens = sum(
            self._loads.used_tokens(found)
            if found in read
            else self._loads.usual_tokens()
            for found in around
        )
        return used_tokens + request.request.shape.expected_tokens < room_tokens

    def _unsafe_cost_s(
        self,
        option: endpoint.Endpoint,
        request: admitted.AdmittedRequest,
        forecast: load_forecast.EndpointForecast,
    ) -> float:
        """Returns the cost of an engine that could not be evacuated.

        The longer an output is expected to be, the more likely its engine
        ends before it.
        """
        output_tokens = request.request.shape.expected_output
        runs = forecast.crowding * option.slots
        return _UNSAFE_TOKEN_COST_S * output_tokens + _UNSAFE_RUN_COST_S * runs

    def _distance_s(self, option: endpoint.Endpoint) -> float:
        if option.failure_domain == self._here.failure_domain:
            return 0.0
        if self._here.is_in_region(option.failure_domain):
            return _OTHER_DOMAIN_COST_S
        return _OTHER_REGION_COST_S


class RoundRobinChooser:
    """Takes the ready endpoints in turn; a baseline for measurements."""

    def __init__(self, known: directory.EndpointDirectory) -> None:
        self._known = known
        self._next_number = 0

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the endpoint whose turn it is."""
        options = ready_options(self._known, request, tried)
        self._next_number += 1
        return options[self._next_number % len(options)]


def is_long(request: admitted.AdmittedRequest) -> bool:
    """Tells whether a request is a generation that may outlive an engine."""
    shape = request.request.shape
    if request.service.engine is None or shape is None:
        return False
    return shape.max_output_tokens >= _LONG_OUTPUT_TOKENS


def ready_options(
    known: directory.EndpointDirectory,
    request: admitted.AdmittedRequest,
    tried: AbstractSet[ids.EndpointId],
) -> list[endpoint.Endpoint]:
    """Lists the endpoints that a request may still go to.

    Raises:
        errors.NotRunError: If there is none.
    """
    options = [
        option
        for option in known.ready_of(request.service.name)
        if option.endpoint_id not in tried
    ]
    if not options:
        raise errors.NotRunError(
            f"service {request.service.name} has no endpoint left",
            retry_after_s=_RETRY_AFTER_S,
        )
    return options
