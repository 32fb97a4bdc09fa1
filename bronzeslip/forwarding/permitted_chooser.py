"""Chooses endpoints that this gateway is permitted to send a request to."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet
import random
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import excluded_endpoints
from bronzeslip.placement import coordinated_chooser
from bronzeslip.places import cold_limits
from bronzeslip.places import permitted_regions
from bronzeslip.quota import endpoint_permits
from bronzeslip.quota import return_schedule

logger = logs.get_logger(__name__)

# Time over which callers return to an endpoint that has become warm.
_WARM_RETURN_SPREAD_S = 1.0
# Time that a request waits for permits before it passes over all cold endpoints
# left. Two gateways that do not reply to a call take 0.6 s, so a request still
# asks the coordinators of a second endpoint if only one is unreachable.
_MAX_PERMIT_WAIT_S = 0.5


class PermittedChooser:
    """Acquires a permit for each chosen endpoint that has a limit.

    An endpoint without a permit is passed over. If none is left, the request is
    refused at once, each with its own time to come back.
    """

    def __init__(
        self,
        endpoint_chooser: coordinated_chooser.CoordinatedChooser,
        endpoints: directory.EndpointDirectory,
        permits: endpoint_permits.EndpointPermits,
        regions: permitted_regions.PermittedRegionsFilter,
        limits_of_cold: cold_limits.ColdLimits,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the chooser.

        Args:
            endpoint_chooser: Chooses among the endpoints with permits.
            endpoints: Directory of the known endpoints.
            permits: Permits for endpoints that have a limit.
            regions: Decides which endpoints a request may reach.
            limits_of_cold: Limits the requests to cold endpoints.
            rng: Spreads the returns to endpoints that are warm again.
            clock: Monotonic clock, in seconds.
        """
        self._endpoint_chooser = endpoint_chooser
        self._endpoints = endpoints
        self._permits = permits
        self._regions = regions
        self._limits_of_cold = limits_of_cold
        self._rng = rng
        self._clock = clock
        # Requests restricted to other regions wait for other permits.
        self._returns: dict[
            tuple[ids.ServiceName, frozenset[ids.RegionName] | None],
            return_schedule.ReturnSchedule,
        ] = {}

    async def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        reserved: float,
    ) -> endpoint.Endpoint:
        """Returns an endpoint to send a request to, once.

        Args:
            request: Request to send.
            tried: Endpoints that have already been tried.
            reserved: Permits to leave for more important requests.

        Raises:
            errors.LimitedError: If only endpoints without a permit are left.
            errors.NotRunError: If no endpoint is left.
        """
        denied_s = {
            endpoint_id: delay_s
            for endpoint_id, delay_s in self._permits.denied_s(
                request.service.name, reserved
            ).items()
            if endpoint_id not in tried
            and self._is_eligible(self._endpoints.get(endpoint_id), request)
        }
        excluded = set(tried)
        waited_s = 0.0
        while True:
            try:
                chosen = await self._endpoint_chooser.choose(
                    request,
                    self._unavailable(
                        request, excluded | denied_s.keys(), waited_s
                    ),
                    was_sent=bool(tried),
                )
            except errors.OverloadedError:
                raise
            except errors.NotRunError:
                denied_s |= self._cold_delays_s(request, excluded)
                if not denied_s:
                    raise
                raise self._limited_error(request, denied_s) from None
            asked_s = self._clock()
            delay_s = await self._acquire(chosen, request, reserved)
            waited_s += self._clock() - asked_s
            if self._endpoints.is_evacuated(chosen):
                # The evacuation became known while the permit was requested.
                excluded.add(chosen.endpoint_id)
                continue
            if not delay_s:
                return chosen
            denied_s[chosen.endpoint_id] = delay_s
            logger.info(
                "request.passed_over_endpoint",
                request=request.request.request_id,
                endpoint=chosen.endpoint_id,
                delay_s=round(delay_s, 3),
            )

    async def _acquire(
        self,
        chosen: endpoint.Endpoint,
        request: admitted.AdmittedRequest,
        reserved: float,
    ) -> float:
        """Returns 0 if an endpoint may be used, else the time to wait."""
        delay_s = await self._limits_of_cold.acquire(chosen, request)
        if delay_s:
            return delay_s
        return await self._permits.acquire(chosen, reserved)

    def _unavailable(
        self,
        request: admitted.AdmittedRequest,
        named: AbstractSet[ids.EndpointId],
        waited_s: float,
    ) -> AbstractSet[ids.EndpointId]:
        """Returns named endpoints and cold ones without a free share.

        After a long wait for permits, these are all cold ones.
        """
        if not request.service.cold_per_s:
            return named
        return excluded_endpoints.ExcludedEndpoints(
            named,
            self._limits_of_cold,
            request,
            excludes_all_cold=waited_s >= _MAX_PERMIT_WAIT_S,
        )

    def _cold_delays_s(
        self,
        request: admitted.AdmittedRequest,
        excluded: AbstractSet[ids.EndpointId],
    ) -> dict[ids.EndpointId, float]:
        if not request.service.cold_per_s:
            return {}
        return {
            candidate.endpoint_id: delay_s
            for candidate in self._endpoints.ready_endpoints(
                request.service.name
            )
            if candidate.endpoint_id not in excluded
            and self._is_eligible(candidate, request)
            and (
                delay_s := self._limits_of_cold.delay_s(
                    candidate.endpoint_id, request
                )
            )
        }

    def _is_eligible(
        self,
        candidate: endpoint.Endpoint | None,
        request: admitted.AdmittedRequest,
    ) -> bool:
        return candidate is not None and self._regions.is_eligible(
            candidate, request.permitted_regions
        )

    def _limited_error(
        self,
        request: admitted.AdmittedRequest,
        denied_s: dict[ids.EndpointId, float],
    ) -> errors.LimitedError:
        service_name = request.service.name
        candidates = [
            candidate
            for candidate in self._endpoints.ready_endpoints(service_name)
            if self._is_eligible(candidate, request)
        ]
        rate_per_s = self._permits.total_rate_per_s(candidates)
        cold_s = [
            left_s
            for candidate in candidates
            if (
                left_s := self._limits_of_cold.cold_s(
                    candidate.endpoint_id, request
                )
            )
        ]
        rate_per_s += len(cold_s) * self._limits_of_cold.rate_per_s(request)
        pause_s = self._endpoints.shortest_pause_s(
            service_name,
            lambda candidate: self._is_eligible(candidate, request),
        )
        returns = self._returns.setdefault(
            (service_name, request.permitted_regions),
            return_schedule.ReturnSchedule(),
        )
        delay_s = returns.next_delay_s(
            min(denied_s.values()),
            1 / rate_per_s if rate_per_s else 0.0,
            self._clock(),
        )
        if cold_s:
            # Nobody has to wait long for an endpoint that is warm again.
            spread_s = self._rng.uniform(0.0, _WARM_RETURN_SPREAD_S)
            delay_s = min(delay_s, min(cold_s) + spread_s)
        return errors.LimitedError(
            f"no endpoint of service {service_name} takes more requests",
            retry_after_s=delay_s if pause_s is None else min(delay_s, pause_s),
        )
