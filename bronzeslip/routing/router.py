"""Selection of candidate endpoints for a request."""

import asyncio
import bisect
import collections
import math

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import endpoint_source
from bronzeslip.routing import errors
from bronzeslip.routing import load_source
from bronzeslip.routing import policy

_RETRY_AFTER_S = 1.0
# Bounds the memory per endpoint; beyond it the older half is dropped.
_MAX_SENT_TIMES_PER_ENDPOINT = 256


class Router:
    """Orders endpoints by a routing policy and counts their requests."""

    def __init__(
        self,
        endpoints: endpoint_source.EndpointSource,
        loads: load_source.LoadSource,
        routing_policy: policy.RoutingPolicy,
    ) -> None:
        self._endpoints = endpoints
        self._loads = loads
        self._policy = routing_policy
        self._outstanding: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )
        self._sent_times_s: dict[ids.EndpointId, list[float]] = {}

    def candidates(
        self, service_binding: binding.Binding, request: policy.RoutingRequest
    ) -> list[candidate.Candidate]:
        """Returns the candidate endpoints for a request, best first.

        Raises:
            errors.NoEndpointError: If the pool has no endpoint in the regions
                of the binding.
        """
        options = [
            self._candidate(endpoint)
            for endpoint in self._endpoints.endpoints_of(service_binding.pool)
            if not service_binding.regions
            or endpoint.region in service_binding.regions
        ]
        if not options:
            raise errors.NoEndpointError(
                f"pool {service_binding.pool!r} has no available endpoint",
                retry_after_s=_RETRY_AFTER_S,
            )
        return self._policy.order(request, options)

    def record_start(self, endpoint_id: ids.EndpointId) -> None:
        """Records that a request has been sent to an endpoint."""
        self._outstanding[endpoint_id] += 1
        sent_times_s = self._sent_times_s.setdefault(endpoint_id, [])
        sent_times_s.append(_now_s())
        if len(sent_times_s) > _MAX_SENT_TIMES_PER_ENDPOINT:
            del sent_times_s[: _MAX_SENT_TIMES_PER_ENDPOINT // 2]

    def record_accepted(
        self, request: policy.RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Records that an endpoint accepted a request."""
        self._policy.record_accepted(request, endpoint_id)

    def record_end(self, endpoint_id: ids.EndpointId) -> None:
        """Records that a request has ended at an endpoint."""
        self._outstanding[endpoint_id] -= 1
        if self._outstanding[endpoint_id] <= 0:
            del self._outstanding[endpoint_id]

    def _candidate(self, endpoint: member.Member) -> candidate.Candidate:
        age_s = self._loads.load_age_s(endpoint.address)
        if math.isinf(age_s):
            self._loads.request_load(endpoint.address)
        sent_times_s = self._sent_times_s.get(endpoint.endpoint_id, [])
        return candidate.Candidate(
            endpoint,
            self._outstanding[endpoint.endpoint_id],
            self._loads.load_of(endpoint.address),
            age_s,
            len(sent_times_s)
            - bisect.bisect_right(sent_times_s, _now_s() - age_s),
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
