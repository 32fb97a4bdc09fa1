"""The endpoints of each service that one gateway reads and chooses from."""

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.membership import rendezvous
from bronzeslip.settings import entry


class WatchedShare:
    """Bounds what a gateway reads, whatever the size of the fleet.

    Half of the endpoints are of the gateway's own region. They are chosen by
    the hash of both ids, so that gateways spread evenly over endpoints and a
    change of one endpoint moves few others. A service that is no larger than
    the bound is taken whole.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        here: vm_config.VmConfig,
        known: directory.EndpointDirectory,
    ) -> None:
        """Creates a share.

        Args:
            settings: Number of endpoints of a service.
            here: Place of this gateway.
            known: Endpoints.
        """
        self._settings = settings
        self._here = here
        self._known = known
        self._chosen: dict[
            tuple[endpoint.Endpoint, ...], tuple[endpoint.Endpoint, ...]
        ] = {}

    def of_service(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Lists the ready endpoints of a service that are this gateway's."""
        ready = self._known.ready_of(service_name)
        if len(ready) <= self._settings.watched_endpoints:
            return ready
        if ready not in self._chosen:
            self._chosen = {ready: self._choose(ready)}
        return self._chosen[ready]

    def _choose(
        self, ready: tuple[endpoint.Endpoint, ...]
    ) -> tuple[endpoint.Endpoint, ...]:
        ordered = rendezvous.ranked(
            ready, lambda known: known.endpoint_id, self._here.vm_id
        )
        limit = self._settings.watched_endpoints
        near = [known for known in ordered if self._is_near(known)]
        near = near[: limit // 2]
        far = [known for known in ordered if not self._is_near(known)]
        return (*near, *far[: limit - len(near)])

    def _is_near(self, known: endpoint.Endpoint) -> bool:
        return self._here.is_in_region(known.failure_domain)
