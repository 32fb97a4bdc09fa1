"""Tells other gateways that the limit of an endpoint has ended."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import task_set
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.quota import coordinators
from bronzeslip.quota import peer
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_request


class EndAnnouncer:
    """Passes on that an endpoint no longer states a limit.

    The gateway that sees it tells the coordinators, and a coordinator tells the
    gateways that it has denied permits to. They would learn it only from their
    next request otherwise, for which they wait for a permit.
    """

    def __init__(
        self,
        endpoints: directory.EndpointDirectory,
        gateways: coordinators.Coordinators,
        coordinator: permit_coordinator.PermitCoordinator,
        caller: peer_caller.PeerCaller,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the announcer.

        Args:
            endpoints: Directory of the known endpoints and their limits.
            gateways: Ranks the coordinators of an endpoint.
            coordinator: Coordinator of this gateway.
            caller: Calls other gateways.
            clock: Monotonic clock, in seconds.
        """
        self._limits = endpoints.request_limits
        self._gateways = gateways
        self._coordinator = coordinator
        self._caller = caller
        self._clock = clock
        self._tasks = task_set.TaskSet()

    def start(self) -> None:
        """Starts to listen for ends of limits."""
        self._limits.add_ended_listener(self._tell_coordinators)
        self._coordinator.add_ended_listener(self._tell)

    def _tell_coordinators(self, target: endpoint.Endpoint) -> None:
        self._tell(target, self._gateways.ranked(target.endpoint_id))

    def _tell(
        self, target: endpoint.Endpoint, gateways: Iterable[peer.Peer]
    ) -> None:
        latest = self._limits.latest(target)
        if latest is None or latest.rate_per_s is not None:
            return
        request = permit_request.PermitRequest(
            target.endpoint_id,
            target.address,
            target.started_unix_ms,
            None,
            self._clock() - latest.stated_s,
            reserved=0.0,
            is_fallback=False,
            sender=self._caller.own,
        )
        for gateway in gateways:
            self._tasks.start(
                "announce end", self._caller.ask(gateway, request)
            )
