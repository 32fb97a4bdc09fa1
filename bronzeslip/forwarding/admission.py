"""Admits requests according to the current configuration."""

import random

from bronzeslip import ids
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import matched_request
from bronzeslip.places import permitted_regions
from bronzeslip.places import refusal_delay
from bronzeslip.routes import current
from bronzeslip.routes import route
from bronzeslip.routes import route_table
from bronzeslip.routes import workspace
from bronzeslip.settings import entry

_RETRY_AFTER_S = 0.5


class Admission:
    """Resolves the route, service and workspace of a request."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        current_table: current.CurrentTable,
        rng: random.Random,
    ) -> None:
        """Initializes request admission.

        Args:
            settings: Default deadline of requests without one of their own.
            current_table: Current configuration.
            rng: Selects among the services of a split route.
        """
        self._settings = settings
        self._current_table = current_table
        self._rng = rng

    def admit(
        self, request: incoming.IncomingRequest
    ) -> admitted.AdmittedRequest:
        """Admits a request.

        Raises:
            errors.NotRunError: If no configuration has been loaded yet, or
                the configuration lacks the service of the route.
            errors.NoEligibleEndpointError: If the route and the workspace of
                the request have no allowed region in common.
            errors.UnknownRouteError: If no route matches the request.
            errors.UnknownKeyError: If the request has no valid key.
        """
        matched = self.match(request)
        service_name = self._select_service(matched.route)
        return self.admit_to(request, matched, service_name)

    def match(
        self, request: incoming.IncomingRequest
    ) -> matched_request.MatchedRequest:
        """Returns the route and the workspace of a request.

        Raises:
            errors.NotRunError: If no configuration has been loaded yet.
            errors.UnknownRouteError: If no route matches the request.
            errors.UnknownKeyError: If the request has no valid key.
        """
        table = self._current_table.table
        if table is None:
            raise errors.NotRunError(
                "no configuration has been loaded yet",
                retry_after_s=_RETRY_AFTER_S,
            )
        matched = table.match(request.host, request.path)
        if matched is None:
            raise errors.UnknownRouteError(
                "no route matches this host and path"
            )
        caller = _authenticate(table, matched, request)
        return matched_request.MatchedRequest(table, matched, caller)

    def admit_to(
        self,
        request: incoming.IncomingRequest,
        matched: matched_request.MatchedRequest,
        service_name: ids.ServiceName,
    ) -> admitted.AdmittedRequest:
        """Admits a request to one of the services of its route.

        Args:
            request: Request to admit.
            matched: Its route and workspace.
            service_name: Name of the service.

        Raises:
            errors.NotRunError: If the configuration lacks the service.
            errors.NoEligibleEndpointError: If the route and the workspace of
                the request have no allowed region in common.
        """
        table, caller = matched.table, matched.workspace
        service = table.service(service_name)
        if service is None:
            raise errors.NotRunError(
                f"service {service_name} is not configured",
                retry_after_s=_RETRY_AFTER_S,
            )
        regions = permitted_regions.intersect(
            matched.route.permitted_regions,
            caller.permitted_regions if caller else None,
        )
        if regions is not None and not regions:
            raise errors.NoEligibleEndpointError(
                "route and workspace have no allowed region in common",
                retry_after_s=refusal_delay.draw_s(self._rng),
            )
        timeout_s = (
            request.caller_timeout_s or self._settings.request_deadline_s
        )
        return admitted.AdmittedRequest(
            request=request,
            route=matched.route,
            service=service,
            workspace_id=caller.workspace_id if caller else None,
            configuration=table.version,
            priority=_priority_of(matched.route, caller),
            deadline_s=request.arrived_s
            + min(timeout_s, matched.route.timeout_s),
            permitted_regions=regions,
            configuration_age_s=self._current_table.confirmation.rounded_age_s,
        )

    def _select_service(self, matched: route.Route) -> ids.ServiceName:
        weights = [option.weight for option in matched.services]
        return self._rng.choices(matched.services, weights)[0].service_name


def _authenticate(
    table: route_table.RouteTable,
    matched: route.Route,
    request: incoming.IncomingRequest,
) -> workspace.KeyedWorkspace | None:
    caller = table.workspace_of(request.key) if request.key else None
    if caller is None and table.has_workspaces and not matched.is_public:
        raise errors.UnknownKeyError("the key belongs to no workspace")
    return caller


def _priority_of(
    matched: route.Route, caller: workspace.KeyedWorkspace | None
) -> int:
    if caller is not None and caller.priority is not None:
        return caller.priority
    return matched.priority
