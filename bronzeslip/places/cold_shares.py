"""Divides the limit of a cold endpoint among the gateways."""

import math

from bronzeslip.entry import vm_config
from bronzeslip.forwarding import gateway_count

# Two coordinators of an endpoint may be active at once, the second one at half
# the rate, each with a bucket of 2.5 permits (quota.permit_bucket).
_COORDINATORS_RATE = 1.5
_COORDINATORS_BURST = 5.0


class ColdShares:
    """Keeps shares and permits together within the bound of a cold endpoint.

    Gateways that have counted the others use whole shares; the others ask for
    permits, which fit into what the bound allows beyond the shares.
    """

    def __init__(
        self,
        bounds: vm_config.PlaceBounds,
        gateways: gateway_count.GatewayCount,
    ) -> None:
        """Initializes the shares.

        Args:
            bounds: Bounds that operators set.
            gateways: Number of running gateways.
        """
        self._bounds = bounds
        self._gateways = gateways

    def set_bounds(self, bounds: vm_config.PlaceBounds) -> None:
        """Applies new bounds."""
        self._bounds = bounds

    def requests_per_s(self, cold_per_s: float) -> int:
        """Returns how many requests this gateway may send in any second.

        Args:
            cold_per_s: Limit of the endpoint, in requests per second.

        Returns:
            The number, or 0 if each request needs a permit.
        """
        limit_per_s = self._limit_per_s(cold_per_s)
        if not self._gateways.is_known or limit_per_s < self._gateways.count:
            return 0
        return math.floor(self._gateways.share_of(limit_per_s))

    def permits_per_s(self, cold_per_s: float) -> float:
        """Returns the rate of permits that a coordinator may grant.

        Args:
            cold_per_s: Limit of the endpoint, in requests per second.
        """
        limit_per_s = self._limit_per_s(cold_per_s)
        count = self._gateways.count
        shared_per_s = math.floor(limit_per_s / count) * count
        free = self._bound(cold_per_s) - shared_per_s - _COORDINATORS_BURST
        return min(max(free / _COORDINATORS_RATE, 0.0), limit_per_s)

    def _limit_per_s(self, cold_per_s: float) -> float:
        return min(cold_per_s, self._bound(cold_per_s))

    def _bound(self, cold_per_s: float) -> float:
        """Returns the number of requests that must hold in any second."""
        return cold_per_s * self._bounds.cold_over + self._bounds.cold_slack
