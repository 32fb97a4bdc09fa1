"""Maintains the standby copy from which a run resumes on another engine."""

import asyncio

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import standby_copy

logger = logs.get_logger(__name__)

# Share of a copy's lifetime after which it is renewed.
_RENEWAL_LIFETIME_SHARE = 0.6
# Interval between renewals at an engine that is about to terminate. Tokens that
# the copy lacks have to be processed again, which incurs a cost and delays the
# next event.
_LEAVING_RENEWAL_INTERVAL_S = 0.25
# Delay of a first copy for each smaller run at the engine. It exceeds the
# difference in network latency between two gateways and an engine, so that
# copies arrive in the order of their size.
_START_DELAY_STEP_S = 0.03
# Maximum time between checks of whether a copy is needed; directory changes
# trigger a check earlier.
_CHECK_INTERVAL_S = 1.0
# Pauses after a failed copy, for a ready and for a leaving source engine.
_RETRY_PAUSE_S = 0.4
_LEAVING_RETRY_PAUSE_S = 0.15
# Age up to which a polled report shows that a target does not leave.
_REPORT_MAX_AGE_S = 0.5
# Timeout of one copy. With 10 s, slow copies delayed fast ones.
_COPY_TIMEOUT_S = 3.0


class StandbyKeeper:
    """Creates and renews a run's copy, and replaces it if its target leaves.

    Attributes:
        copy: Current copy, or None if there is none.
    """

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
        source: endpoint.Endpoint,
    ) -> None:
        """Initializes the keeper.

        Args:
            shared: Shared components of the gateway.
            request: Request whose run is copied.
            source: Engine that runs the request.
        """
        self._components = shared
        self._request = request
        self._source = source
        self._failed_targets: set[ids.EndpointId] = set()
        self.copy: standby_copy.StandbyCopy | None = None

    async def run(self) -> None:
        """Maintains the copy while one is needed, until cancelled."""
        while True:
            if not self._is_copy_needed():
                await self._components.endpoints.wait_for_change(
                    _CHECK_INTERVAL_S
                )
                continue
            if self.copy is None and self._is_source_leaving:
                await asyncio.sleep(self._start_delay_s())
            target = self._choose_target()
            if target is not None and await self._try_copy(target):
                await self._wait_until_renewal_due()
            else:
                await self._components.endpoints.wait_for_change(
                    self._retry_pause_s
                )

    @property
    def _is_source_leaving(self) -> bool:
        return not self._components.endpoints.accepts_requests(self._source)

    @property
    def _retry_pause_s(self) -> float:
        return (
            _LEAVING_RETRY_PAUSE_S
            if self._is_source_leaving
            else _RETRY_PAUSE_S
        )

    def _is_copy_needed(self) -> bool:
        """Returns whether a copy should exist now.

        A copy to a neighbouring engine completes between the shutdown notice
        and the termination of the source engine. Without a neighbour, the copy
        has to be made in advance.
        """
        return (
            self._is_source_leaving
            or self._components.copy_target_chooser.needs_advance_copy(
                self._source
            )
        )

    def _start_delay_s(self) -> float:
        """Returns a delay, in seconds, that lets smaller runs be copied first.

        Copies queue for the network link of the engine, so more runs are saved
        if small runs are copied first. All gateways take the order from the
        engine's report, so they agree on it.
        """
        latest = self._components.reports.get(self._source.endpoint_id)
        if latest is None:
            return 0.0
        sizes = {
            run.request_id: run.memory_tokens for run in latest.report.runs
        }
        own_size = sizes.get(self._request.request.request_id)
        if own_size is None:
            return len(sizes) * _START_DELAY_STEP_S
        return (
            sum(size < own_size for size in sizes.values())
            * _START_DELAY_STEP_S
        )

    def _choose_target(self) -> endpoint.Endpoint | None:
        if self.copy is not None and self._is_target_usable():
            return self.copy.target
        chosen = self._components.copy_target_chooser.choose(
            self._request,
            self._source,
            self._failed_targets,
            self._is_source_leaving,
        )
        if chosen is None:
            self._failed_targets.clear()
        return chosen

    def _is_target_usable(self) -> bool:
        return self._components.endpoints.is_usable(self.copy.target)

    async def _try_copy(self, target: endpoint.Endpoint) -> bool:
        """Copies the run to a target that is not about to leave itself."""
        is_renewal = self.copy is not None and self.copy.target == target
        if not is_renewal and not await self._confirm(target):
            self._failed_targets.add(target.endpoint_id)
            return False
        return await self._copy_to(target)

    async def _confirm(self, target: endpoint.Endpoint) -> bool:
        """Returns whether a target is reachable, stays and is not evacuated.

        Most targets are not polled by this gateway, and their discovery entries
        are up to a watch interval old.
        """
        latest = self._components.reports.get(target.endpoint_id)
        if latest is not None and _now_s() - latest.read_s < _REPORT_MAX_AGE_S:
            return True
        try:
            report = await self._components.client.report(target)
        except endpoint_errors.EndpointError as error:
            logger.info(
                "standby.target_failed",
                request=self._request.request.request_id,
                target=target.endpoint_id,
                reason=error.message,
            )
            return False
        if report.is_leaving:
            self._components.endpoints.mark_leaving(target)
        # The evacuation may have become known while the report was read.
        is_evacuated = self._components.endpoints.is_evacuated(target)
        return not report.is_leaving and not is_evacuated

    async def _copy_to(self, target: endpoint.Endpoint) -> bool:
        request_id = self._request.request.request_id
        started_s = _now_s()
        try:
            result = await self._components.client.copy_run(
                self._source,
                request_id,
                target,
                is_last=False,
                timeout_s=_COPY_TIMEOUT_S,
            )
        except endpoint_errors.EndpointError as error:
            logger.info(
                "standby.failed",
                request=request_id,
                endpoint=self._source.endpoint_id,
                target=target.endpoint_id,
                reason=error.message,
                took_s=round(_now_s() - started_s, 3),
                target_report=self._components.reports.get(target.endpoint_id),
            )
            self._failed_targets.add(target.endpoint_id)
            return False
        self.copy = standby_copy.StandbyCopy(
            self._source, target, result.handle, _now_s(), result.events
        )
        self._failed_targets.clear()
        logger.info(
            "standby.made",
            request=request_id,
            endpoint=self._source.endpoint_id,
            target=target.endpoint_id,
            events=result.events,
            took_s=round(_now_s() - started_s, 3),
        )
        return True

    async def _wait_until_renewal_due(self) -> None:
        """Waits until the copy needs renewal or its target is unusable."""
        engine = self._request.service.engine
        renewal_interval_s = engine.copy_lifetime_s * _RENEWAL_LIFETIME_SHARE
        while self._is_target_usable():
            if self._is_source_leaving:
                renewal_interval_s = _LEAVING_RENEWAL_INTERVAL_S
            remaining_s = self.copy.renewed_s + renewal_interval_s - _now_s()
            if remaining_s <= 0:
                return
            await self._components.endpoints.wait_for_change(remaining_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
