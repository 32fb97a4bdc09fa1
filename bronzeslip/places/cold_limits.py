"""Limits the requests of this gateway to cold endpoints."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.places import cold_endpoints
from bronzeslip.places import cold_shares
from bronzeslip.places import request_window
from bronzeslip.quota import cold_permits

# Part of a share that is left to the most urgent requests.
_URGENT_SHARE = 0.2
# The same part of the capacity of a coordinator's bucket (2.5 permits).
_URGENT_PERMITS = 0.5


class ColdLimits:
    """Keeps requests to cold endpoints within the limit of their service.

    Each gateway uses its share without exchanging messages. While a share is
    under one request per second, or the gateways have not been counted, a
    permit is needed for each request.
    """

    def __init__(
        self,
        cold: cold_endpoints.ColdEndpoints,
        shares: cold_shares.ColdShares,
        permits: cold_permits.ColdPermits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the limits.

        Args:
            cold: Tracks which endpoints are cold.
            shares: Divides limits among the gateways.
            permits: Permits of coordinators.
            clock: Monotonic clock, in seconds.
        """
        self._cold = cold
        self._shares = shares
        self._permits = permits
        self._clock = clock
        self._windows: dict[ids.EndpointId, request_window.RequestWindow] = {}
        # Cold endpoints that requests were intended for, by service.
        self._used: dict[ids.ServiceName, set[ids.EndpointId]] = {}

    def remove(self, gone: endpoint.Endpoint) -> None:
        """Removes an endpoint that is gone."""
        self._windows.pop(gone.endpoint_id, None)
        self._permits.remove(gone.endpoint_id)
        self._used.get(gone.service_name, set()).discard(gone.endpoint_id)

    def delay_s(
        self, endpoint_id: ids.EndpointId, request: admitted.AdmittedRequest
    ) -> float:
        """Returns the time until an endpoint may take a request, in seconds.

        It is 0 for a warm endpoint and for a cold one with a free share, or
        whose coordinator has not denied a permit.
        """
        cold_s = self._cold.remaining_s(endpoint_id, request.service)
        if not cold_s:
            return 0.0
        return min(self._share_delay_s(endpoint_id, request), cold_s)

    def cold_s(
        self, endpoint_id: ids.EndpointId, request: admitted.AdmittedRequest
    ) -> float:
        """Returns how long an endpoint is cold, in seconds."""
        return self._cold.remaining_s(endpoint_id, request.service)

    def used_endpoints(
        self, request: admitted.AdmittedRequest
    ) -> frozenset[ids.EndpointId]:
        """Returns the cold endpoints of a service that were used while cold.

        Only these may have no free share, or a permit that was denied.
        """
        used = self._used.get(request.service.name)
        if not used:
            return frozenset()
        used.difference_update(
            [name for name in used if not self.cold_s(name, request)]
        )
        return frozenset(used)

    async def acquire(
        self, target: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        """Acquires the right to send one request to an endpoint.

        Returns:
            0 if it may be sent, otherwise the time after which to try again,
            in seconds.
        """
        cold_s = self._cold.remaining_s(target.endpoint_id, request.service)
        if not cold_s:
            return 0.0
        used = self._used.setdefault(target.service_name, set())
        used.add(target.endpoint_id)
        delay_s = self._share_delay_s(target.endpoint_id, request)
        if not delay_s:
            delay_s = await self._take(target, request)
        if delay_s:
            self._cold.log_exhausted(target.endpoint_id)
        return min(delay_s, cold_s)

    def rate_per_s(self, request: admitted.AdmittedRequest) -> float:
        """Returns the rate at which one cold endpoint takes requests."""
        cold_per_s = request.service.cold_per_s
        return float(self._shares.requests_per_s(cold_per_s)) or cold_per_s

    async def _take(
        self, target: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> float:
        cold_per_s = request.service.cold_per_s
        if not self._shares.requests_per_s(cold_per_s):
            return await self._permits.acquire(
                target, cold_per_s, _reserved_permits(request)
            )
        self._window_of(target.endpoint_id).add(self._clock())
        return 0.0

    def _share_delay_s(
        self, endpoint_id: ids.EndpointId, request: admitted.AdmittedRequest
    ) -> float:
        share = self._shares.requests_per_s(request.service.cold_per_s)
        if not share:
            return self._permits.denied_s(
                endpoint_id, _reserved_permits(request)
            )
        window = self._windows.get(endpoint_id)
        if window is None:
            return 0.0
        if request.priority > 0:
            # A share of few requests has no part that could be left.
            share -= int(share * _URGENT_SHARE)
        return window.delay_s(share, self._clock())

    def _window_of(
        self, endpoint_id: ids.EndpointId
    ) -> request_window.RequestWindow:
        return self._windows.setdefault(
            endpoint_id, request_window.RequestWindow()
        )


def _reserved_permits(request: admitted.AdmittedRequest) -> float:
    return _URGENT_PERMITS if request.priority > 0 else 0.0
