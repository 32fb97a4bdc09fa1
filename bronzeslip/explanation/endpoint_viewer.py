"""Describes endpoints as a gateway sees them for one request."""

import asyncio
from collections.abc import Mapping

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import vm_config
from bronzeslip.explanation import endpoint_explanation
from bronzeslip.explanation import exclusion
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import connection_share

Exclusion = exclusion.Exclusion


class EndpointViewer:
    """Describes endpoints and why a gateway does not select them."""

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        shared: components.ForwardingComponents,
        watched: watched_endpoints.WatchedEndpoints,
        connections: connection_share.ConnectionShare,
    ) -> None:
        """Initializes the viewer.

        Args:
            this_vm: Region of each failure domain.
            shared: Components of the gateway, which are only read.
            watched: Endpoints that this gateway chooses from.
            connections: Limits the requests in flight at an endpoint.
        """
        self._this_vm = this_vm
        self._shared = shared
        self._watched = watched
        self._connections = connections

    async def view_all(
        self,
        request: admitted.AdmittedRequest,
        denied_s: Mapping[ids.EndpointId, float],
        is_coordinated: bool,
    ) -> tuple[endpoint_explanation.EndpointExplanation, ...]:
        """Describes all known endpoints of a request's service.

        Lets other tasks run after each endpoint: the cost of a long generation
        at all of 150 engines takes over 0.1 s, which would delay streams.

        Args:
            request: The request.
            denied_s: Time for which permits are denied, by endpoint, in
                seconds.
            is_coordinated: Whether a coordinator places the request.
        """
        views = []
        for target in self._shared.endpoints.endpoints:
            if target.service_name != request.service.name:
                continue
            target_denied_s = denied_s.get(target.endpoint_id, 0.0)
            views.append(
                self._view(target, request, target_denied_s, is_coordinated)
            )
            await asyncio.sleep(0)
        return tuple(sorted(views, key=lambda view: view.endpoint_id))

    def _view(
        self,
        target: endpoint.Endpoint,
        request: admitted.AdmittedRequest,
        denied_s: float,
        is_coordinated: bool,
    ) -> endpoint_explanation.EndpointExplanation:
        shared = self._shared
        latest = shared.reports.get(target.endpoint_id)
        forecast = shared.load_forecaster.forecast(target, request)
        return endpoint_explanation.EndpointExplanation(
            endpoint_id=target.endpoint_id,
            state=target.state,
            failure_domain=target.failure_domain,
            region=self._this_vm.regions.get(target.failure_domain),
            report_age_s=shared.load_forecaster.report_age_s(target),
            running=None if latest is None else latest.report.running,
            waiting=None if latest is None else latest.report.waiting,
            in_flight=shared.in_flight.count(target.endpoint_id),
            memory_use=forecast.memory_use,
            pace=forecast.pace,
            cold_s=shared.cold_limits.cold_s(target.endpoint_id, request),
            paused_s=shared.endpoints.pause_remaining_s(target),
            is_evacuated=shared.endpoints.is_evacuated(target),
            is_unreachable=not shared.endpoints.is_reachable(target),
            limit_per_s=shared.endpoints.request_limits.rate_of(target),
            denied_s=denied_s,
            wait_s=forecast.prefill_s,
            cost_s=shared.endpoint_chooser.cost_s(target, request),
            excluded_by=self._excluded_by(
                target, request, denied_s, is_coordinated
            ),
        )

    def _excluded_by(
        self,
        target: endpoint.Endpoint,
        request: admitted.AdmittedRequest,
        denied_s: float,
        is_coordinated: bool,
    ) -> tuple[exclusion.Exclusion, ...]:
        shared = self._shared
        name = request.service.name
        is_excluded = {
            Exclusion.LEAVING: not target.is_ready,
            Exclusion.EVACUATED: shared.endpoints.is_evacuated(target),
            Exclusion.OTHER_REGION: not shared.regions.is_eligible(
                target, request.permitted_regions
            ),
            Exclusion.PAUSED: shared.endpoints.pause_remaining_s(target) > 0,
            Exclusion.UNREACHABLE: not shared.endpoints.is_reachable(target)
            and target not in shared.endpoints.ready_endpoints(name),
            Exclusion.NO_PERMIT: denied_s > 0,
            Exclusion.COLD: bool(
                shared.cold_limits.delay_s(target.endpoint_id, request)
            ),
            Exclusion.NO_CONNECTION: not self._connections.has_free_connection(
                target, request.service, is_coordinated
            ),
        }
        excluded_by = [
            reason for reason, applies in is_excluded.items() if applies
        ]
        if not excluded_by and target not in self._watched.for_service(name):
            # The other reasons are decisive for all gateways or for longer.
            excluded_by.append(Exclusion.NOT_WATCHED)
        return tuple(excluded_by)
