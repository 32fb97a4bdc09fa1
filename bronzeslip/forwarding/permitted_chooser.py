"""Chooses endpoints that this gateway is permitted to send a request to."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors
from bronzeslip.placement import coordinated_chooser
from bronzeslip.quota import endpoint_permits
from bronzeslip.quota import return_schedule

logger = logs.get_logger(__name__)


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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the chooser.

        Args:
            endpoint_chooser: Chooses among the endpoints with permits.
            endpoints: Directory of the known endpoints.
            permits: Permits for endpoints that have a limit.
            clock: Monotonic clock, in seconds.
        """
        self._endpoint_chooser = endpoint_chooser
        self._endpoints = endpoints
        self._permits = permits
        self._clock = clock
        self._returns: dict[
            ids.ServiceName, return_schedule.ReturnSchedule
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
        }
        while True:
            try:
                chosen = await self._endpoint_chooser.choose(
                    request, tried | denied_s.keys(), was_sent=bool(tried)
                )
            except errors.OverloadedError:
                raise
            except errors.NotRunError:
                if not denied_s:
                    raise
                raise self._limited_error(request, denied_s) from None
            delay_s = await self._permits.acquire(chosen, reserved)
            if not delay_s:
                return chosen
            denied_s[chosen.endpoint_id] = delay_s
            logger.info(
                "request.passed_over_endpoint",
                request=request.request.request_id,
                endpoint=chosen.endpoint_id,
                delay_s=round(delay_s, 3),
            )

    def _limited_error(
        self,
        request: admitted.AdmittedRequest,
        denied_s: dict[ids.EndpointId, float],
    ) -> errors.LimitedError:
        service_name = request.service.name
        candidates = self._endpoints.ready_endpoints(service_name)
        rate_per_s = self._permits.total_rate_per_s(candidates)
        pause_s = self._endpoints.shortest_pause_s(service_name)
        returns = self._returns.setdefault(
            service_name, return_schedule.ReturnSchedule()
        )
        delay_s = returns.next_delay_s(
            min(denied_s.values()),
            1 / rate_per_s if rate_per_s else 0.0,
            self._clock(),
        )
        return errors.LimitedError(
            f"no endpoint of service {service_name} takes more requests",
            retry_after_s=delay_s if pause_s is None else min(delay_s, pause_s),
        )
