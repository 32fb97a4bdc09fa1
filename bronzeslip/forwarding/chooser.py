"""Choice of the endpoint for a request."""

from collections.abc import Set as AbstractSet
import math
import random
from typing import Protocol

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_memory
from bronzeslip.endpoints import neighbourhood
from bronzeslip.endpoints import own_load
from bronzeslip.endpoints import report_board
from bronzeslip.entry import place
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors

# Time that a report is old when it is read; the pages give some hundred ms.
_REPORT_LAG_S = 0.5
_RETRY_AFTER_S = 0.5
# One failure weighs as much as a whole batch of requests.
_FAILURE_COST = 1.0
_OTHER_DOMAIN_COST = 0.05
_OTHER_REGION_COST = 0.10
_COLD_COST = 0.3
# A long generation is lost with an engine whose neighbours have no room.
_UNSAFE_COST = 0.5
# Share of the memory that neighbours are filled to when one of them leaves.
_EVACUATION_SHARE = 0.9
# Outputs shorter than this are over before an engine that leaves ends.
_LONG_OUTPUT_TOKENS = 100
# Keeps gateways that read the same reports from choosing alike.
_SPREAD_COST = 0.04
_MEMORY_START = 0.6
_MEMORY_COST = 8.0


class EndpointForecast(msgspec.Struct, frozen=True):
    """What is expected of an endpoint if it takes a request.

    Attributes:
        crowding: Requests for each of its slots.
        memory: Share of its memory that is taken, 0 for plain services.
    """

    crowding: float
    memory: float


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
    """Chooses the endpoint at which a request is expected to cost least."""

    def __init__(
        self,
        here: place.VmPlace,
        known: directory.EndpointDirectory,
        near: neighbourhood.Neighbourhood,
        own: own_load.OwnLoad,
        reports: report_board.ReportBoard,
        failures: failure_memory.FailureMemory,
        rng: random.Random,
    ) -> None:
        """Creates a chooser.

        Args:
            here: Place of this gateway.
            known: Endpoints.
            near: Tells which endpoints are near each other.
            own: Requests that this gateway has under way.
            reports: Reports of the model engines.
            failures: Failures of endpoints.
            rng: Source of the small random part of a cost.
        """
        self._here = here
        self._known = known
        self._near = near
        self._own = own
        self._reports = reports
        self._failures = failures
        self._rng = rng

    def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint:
        """Returns the endpoint with the least cost."""
        options = ready_options(self._known, request, tried)
        return min(options, key=lambda option: self._cost(option, request))

    def forecast(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> EndpointForecast:
        """Expects the load of an endpoint if it takes a request."""
        engine = request.service.engine
        dated = self._reports.get(option.endpoint_id)
        if engine is None or dated is None:
            count = self._own.count(option.endpoint_id) + 1
            return EndpointForecast(count / max(option.slots, 1), 0.0)
        since = self._own.since(
            option.endpoint_id, dated.read_s - _REPORT_LAG_S
        )
        count = dated.report.running + dated.report.waiting + len(since) + 1
        shape = request.request.shape
        tokens = self._used_tokens(option)
        tokens += shape.expected_tokens if shape else 0
        return EndpointForecast(
            count / max(engine.slots, 1),
            tokens / max(dated.report.memory_tokens, 1),
        )

    def _used_tokens(self, option: endpoint.Endpoint) -> int:
        """Memory taken by the last report and by requests sent since."""
        dated = self._reports.get(option.endpoint_id)
        since_s = -math.inf
        used_tokens = 0
        if dated is not None:
            since_s = dated.read_s - _REPORT_LAG_S
            used_tokens = dated.report.used_tokens
        since = self._own.since(option.endpoint_id, since_s)
        return used_tokens + sum(run.expected_tokens for run in since)

    def _could_be_evacuated(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> bool:
        """Tells whether neighbours would have room if an engine left.

        The memory of all engines around has to fit into all but one.
        """
        around = self._near.around(option)
        capacity_tokens = request.service.engine.memory_tokens
        room_tokens = _EVACUATION_SHARE * capacity_tokens * (len(around) - 1)
        used_tokens = sum(self._used_tokens(found) for found in around)
        return used_tokens + request.request.shape.expected_tokens < room_tokens

    def _cost(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        forecast = self.forecast(option, request)
        pressure = max(forecast.memory - _MEMORY_START, 0.0)
        cost = forecast.crowding + forecast.memory
        cost += _MEMORY_COST * pressure * pressure
        cost += _FAILURE_COST * self._failures.score_of(option.endpoint_id)
        cost += _COLD_COST if option.cold_left_s > 0 else 0.0
        cost += self._distance(option)
        if is_long(request) and not self._could_be_evacuated(option, request):
            cost += _UNSAFE_COST
        return cost + _SPREAD_COST * self._rng.random()

    def _distance(self, option: endpoint.Endpoint) -> float:
        if option.failure_domain == self._here.failure_domain:
            return 0.0
        if self._here.is_in_region(option.failure_domain):
            return _OTHER_DOMAIN_COST
        return _OTHER_REGION_COST


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
