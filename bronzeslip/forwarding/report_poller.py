"""Polls the load reports of the model engines."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.placement import polled_engines
from bronzeslip.settings import entry

# Consecutive failed polls before an engine counts as unreachable, and the
# interval between them. Together they stay below a second, since requests sent
# to an engine that is down are lost.
_MAX_FAILURES = 2
_RETRY_INTERVAL_S = 0.25

logger = logs.get_logger(__name__)


class ReportPoller:
    """Runs one polling task per watched model engine."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        endpoints: directory.EndpointDirectory,
        watched: watched_endpoints.WatchedEndpoints,
        in_flight: in_flight_requests.InFlightRequests,
        client: endpoint_client.EndpointClient,
        reports: report_cache.ReportCache,
        engine_services: Callable[[], Iterable[ids.ServiceName]],
        coordinated: polled_engines.PolledEngines | None = None,
    ) -> None:
        """Initializes the poller.

        Args:
            settings: Polling intervals.
            endpoints: Directory of the known endpoints.
            watched: Endpoints that this gateway polls.
            in_flight: Requests of this gateway in flight at each endpoint.
            client: Client for calls to endpoints.
            reports: Cache that receives the reports.
            engine_services: Returns the services that have model engines.
            coordinated: Selects the engines in place of `watched` where
                placement is coordinated; None if it never is.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._watched = watched
        self._in_flight = in_flight
        self._client = client
        self._reports = reports
        self._engine_services = engine_services
        self._coordinated = coordinated
        self._tasks: dict[ids.EndpointId, asyncio.Task] = {}
        # Incarnation that each task polls.
        self._polled: dict[ids.EndpointId, endpoint.Endpoint] = {}
        self._unresponsive: dict[ids.EndpointId, endpoint.Endpoint] = {}
        self._selection_changed = asyncio.Event()

    async def run(self) -> None:
        """Starts and stops tasks as endpoints change, until cancelled."""
        try:
            while True:
                with isolation.isolated(logger, "reports.not_reconciled"):
                    self._reconcile_tasks()
                await self._wait_for_change()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def polls(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether an engine is being polled."""
        return endpoint_id in self._tasks

    def refresh(self) -> None:
        """Applies a change of the engines to poll at once."""
        self._selection_changed.set()

    async def _wait_for_change(self) -> None:
        """Waits for a change of the endpoints or of the engines to poll.

        Where placement is coordinated, the engines to poll also change with the
        long runs of this gateway.
        """
        interval_s = self._settings.report_interval_s
        if self._coordinated is not None:
            interval_s = min(interval_s, self._settings.busy_report_interval_s)
        waits = (
            asyncio.create_task(self._endpoints.wait_for_change(interval_s)),
            asyncio.create_task(self._selection_changed.wait()),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        self._selection_changed.clear()

    def _reconcile_tasks(self) -> None:
        engines = {
            engine.endpoint_id: engine
            for name in self._engine_services()
            for engine in self._engines_of(name)
        }
        self._forget_unresponsive(engines.keys())
        # They are not among the ready endpoints that engines are selected from.
        engines = self._unresponsive | engines
        for endpoint_id in self._tasks.keys() - engines.keys():
            self._stop_polling(endpoint_id)
        for endpoint_id, engine in engines.items():
            polled = self._polled.get(endpoint_id)
            if polled is not None and not polled.is_same_incarnation(engine):
                # The new incarnation may have another address, and neither the
                # load nor the reachability of the previous one.
                self._stop_polling(endpoint_id)
                self._record_reachable(engine, True)
            task = self._tasks.get(endpoint_id)
            # The tasks of a run that has failed are done.
            if task is None or task.done():
                self._polled[endpoint_id] = engine
                self._tasks[endpoint_id] = task_set.start(
                    f"report {endpoint_id}", self._poll(engine)
                )

    def _stop_polling(self, endpoint_id: ids.EndpointId) -> None:
        del self._polled[endpoint_id]
        self._tasks.pop(endpoint_id).cancel()
        self._reports.remove(endpoint_id)

    def _engines_of(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the watched engines and the evacuated ones in use.

        The latter still run long generations of this gateway, which are lost if
        a shutdown notice is missed.
        """
        watched = self._selected(service_name)
        if not self._endpoints.evacuated_domains:
            return watched
        return watched + tuple(
            engine
            for engine in self._endpoints.ready_or_evacuated_endpoints(
                service_name
            )
            if self._endpoints.is_evacuated(engine)
            and self._in_flight.has_long_request(engine.endpoint_id)
        )

    def _selected(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        if self._coordinated is None:
            return self._watched.for_service(service_name)
        return self._coordinated.for_service(service_name)

    def _forget_unresponsive(
        self, polled_ids: AbstractSet[ids.EndpointId]
    ) -> None:
        """Forgets unresponsive engines that need no polls of this gateway.

        These are gone or leaving, or the coordinator of their placements polls
        them and does not name them while they do not respond.
        """
        for endpoint_id in self._unresponsive.keys() - polled_ids:
            engine = self._unresponsive[endpoint_id]
            if not self._endpoints.accepts_requests(engine):
                del self._unresponsive[endpoint_id]
            elif (
                self._coordinated is not None
                and self._coordinated.has_polling_coordinator(
                    engine.service_name
                )
            ):
                del self._unresponsive[endpoint_id]
                self._endpoints.set_reachable(engine, True)

    def _record_reachable(
        self, engine: endpoint.Endpoint, is_reachable: bool
    ) -> None:
        if is_reachable:
            self._unresponsive.pop(engine.endpoint_id, None)
        else:
            self._unresponsive[engine.endpoint_id] = engine
        self._endpoints.set_reachable(engine, is_reachable)

    async def _poll(self, engine: endpoint.Endpoint) -> None:
        failures = 0
        while True:
            failures = 0 if await self._poll_once(engine) else failures + 1
            self._record_reachable(engine, failures < _MAX_FAILURES)
            interval_s = self._interval_s(engine)
            if 0 < failures < _MAX_FAILURES or self._is_selected(engine):
                interval_s = _RETRY_INTERVAL_S if failures else interval_s
            await asyncio.sleep(interval_s)

    def _is_selected(self, engine: endpoint.Endpoint) -> bool:
        """Returns whether an engine is polled even if it is responsive."""
        return any(
            selected.endpoint_id == engine.endpoint_id
            for selected in self._engines_of(engine.service_name)
        )

    async def _poll_once(self, engine: endpoint.Endpoint) -> bool:
        """Fetches a report; returns whether there is a valid one."""
        try:
            report = await self._client.report(engine)
            self._reports.put(engine.endpoint_id, report)
            if report.is_leaving:
                self._endpoints.mark_leaving(engine)
        except endpoint_errors.EndpointError as error:
            logger.info(
                "reports.failed",
                endpoint=engine.endpoint_id,
                reason=error.message,
            )
            return False
        except Exception as error:
            logger.error(
                "reports.failed_unexpectedly",
                endpoint=engine.endpoint_id,
                reason=logs.describe(error),
            )
            return False
        return True

    def _interval_s(self, engine: endpoint.Endpoint) -> float:
        """Returns the time until the next poll of an engine, in seconds.

        The interval is shorter while the discovery source is unreachable: only
        the report then shows that an engine is leaving, and the outage itself
        is detected late. It is also shorter for engines with
        long runs of this gateway, which are lost if a shutdown notice is
        missed, and for engines whose placements this gateway coordinates.
        """
        interval_s = self._own_interval_s(engine)
        if self._coordinated is None:
            return interval_s
        return min(interval_s, self._coordinated.interval_s(engine))

    def _own_interval_s(self, engine: endpoint.Endpoint) -> float:
        if not self._endpoints.is_source_reachable:
            return self._settings.lone_report_interval_s
        if self._in_flight.has_long_request(engine.endpoint_id):
            return self._settings.busy_report_interval_s
        return self._settings.report_interval_s
