"""Checks a request against the configuration in force."""

import random

from bronzeslip import ids
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.routes import current
from bronzeslip.routes import route
from bronzeslip.routes import route_table
from bronzeslip.routes import workspace
from bronzeslip.settings import entry

_RETRY_AFTER_S = 0.5


class Admission:
    """Finds route, service and workspace of a request."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        in_force: current.CurrentTable,
        rng: random.Random,
    ) -> None:
        """Creates an admission.

        Args:
            settings: Deadline of requests that name none.
            in_force: Configuration in force.
            rng: Draws among the services of a split route.
        """
        self._settings = settings
        self._current = in_force
        self._rng = rng

    def admit(
        self, request: incoming.IncomingRequest
    ) -> admitted.AdmittedRequest:
        """Checks a request.

        Raises:
            errors.NotRunError: If no configuration is known yet.
            errors.UnknownRouteError: If no route takes it.
            errors.UnknownKeyError: If it shows no known key.
        """
        known = self._current.table
        if known is None:
            raise errors.NotRunError(
                "no configuration is known yet", retry_after_s=_RETRY_AFTER_S
            )
        taken = known.match(request.host, request.path)
        if taken is None:
            raise errors.UnknownRouteError("no route takes this host and path")
        caller = _caller(known, taken, request)
        service_name = self._draw_service(taken)
        service = known.service(service_name)
        if service is None:
            raise errors.NotRunError(
                f"service {service_name} is not declared",
                retry_after_s=_RETRY_AFTER_S,
            )
        patience_s = request.patience_s or self._settings.request_deadline_s
        return admitted.AdmittedRequest(
            request=request,
            route=taken,
            service=service,
            workspace_id=caller.workspace_id if caller else None,
            configuration=known.version,
            priority=_priority(taken, caller),
            deadline_s=request.arrived_s + min(patience_s, taken.timeout_s),
        )

    def _draw_service(self, taken: route.Route) -> ids.ServiceName:
        weights = [option.weight for option in taken.services]
        return self._rng.choices(taken.services, weights)[0].service_name


def _caller(
    known: route_table.RouteTable,
    taken: route.Route,
    request: incoming.IncomingRequest,
) -> workspace.KeyedWorkspace | None:
    caller = known.workspace_of(request.key) if request.key else None
    if caller is None and known.has_workspaces and not taken.is_public:
        raise errors.UnknownKeyError("the key belongs to no workspace")
    return caller


def _priority(
    taken: route.Route, caller: workspace.KeyedWorkspace | None
) -> int:
    if caller is not None and caller.priority is not None:
        return caller.priority
    return taken.priority
