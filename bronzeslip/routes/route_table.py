"""Lookup table for one version of the configuration."""

from collections.abc import Iterable
import itertools

from bronzeslip import ids
from bronzeslip.routes import limits
from bronzeslip.routes import route
from bronzeslip.routes import service
from bronzeslip.routes import workspace


class RouteTable:
    """Looks up routes by host and path, and workspaces by key.

    Attributes:
        version: Version of the configuration.
        limits: Limits on caller requests and connections.
        has_workspaces: Whether callers must present a key.
    """

    def __init__(
        self,
        version: ids.TableVersion,
        routes: Iterable[route.Route],
        services: Iterable[service.Service],
        workspaces: Iterable[workspace.KeyedWorkspace] | None,
        caller_limits: limits.CallerLimits,
    ) -> None:
        """Creates a table.

        Args:
            version: Version of the configuration.
            routes: Routes.
            services: Services.
            workspaces: Workspaces, or None if no keys are required.
            caller_limits: Limits on caller requests and connections.
        """
        self.version = version
        self.limits = caller_limits
        self.has_workspaces = workspaces is not None
        self._services = {entry.name: entry for entry in services}
        self._routes: dict[str, list[route.Route]] = {}
        for entry in routes:
            self._routes.setdefault(entry.host, []).append(entry)
        for host_routes in self._routes.values():
            host_routes.sort(key=lambda entry: -len(entry.path_prefix))
        self._workspaces = {
            key: entry for entry in workspaces or () for key in entry.keys
        }
        self._named_regions = {
            name: frozenset(regions)
            for name, regions in _named_by_service(
                itertools.chain.from_iterable(self._routes.values()),
                self._workspaces.values(),
            ).items()
        }

    @property
    def services(self) -> tuple[service.Service, ...]:
        """All services."""
        return tuple(self._services.values())

    def match(self, host: str, path: str) -> route.Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for candidate in self._routes.get(host.lower(), ()):
            if path.startswith(candidate.path_prefix):
                return candidate
        return None

    def service(self, name: ids.ServiceName) -> service.Service | None:
        """Returns a service by name, or None if it does not exist."""
        return self._services.get(name)

    def named_regions(
        self, service_name: ids.ServiceName
    ) -> frozenset[ids.RegionName]:
        """Returns the regions that requests to a service are restricted to.

        These are all regions named by a route to the service or by a
        workspace.
        """
        return self._named_regions.get(service_name, frozenset())

    def workspace_of(self, key: str) -> workspace.KeyedWorkspace | None:
        """Returns the workspace that a key belongs to, or None."""
        return self._workspaces.get(key)


def _named_by_service(
    routes: Iterable[route.Route],
    workspaces: Iterable[workspace.KeyedWorkspace],
) -> dict[ids.ServiceName, set[ids.RegionName]]:
    by_service: dict[ids.ServiceName, set[ids.RegionName]] = {}
    by_workspace = {
        region
        for entry in workspaces
        for region in entry.permitted_regions or ()
    }
    for entry in routes:
        for option in entry.services:
            named = by_service.setdefault(
                option.service_name, set(by_workspace)
            )
            named.update(entry.permitted_regions or ())
    return by_service
