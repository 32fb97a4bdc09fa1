"""Keeps a standby copy of one run while it goes on."""

import asyncio

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import standby_copy

logger = logs.get_logger(__name__)

# Part of a copy's lifetime after which it is renewed.
_RENEWAL_LIFETIME_SHARE = 0.6
# Time between renewals at an engine that is about to end: what the copy lacks
# then is read again, which is priced and delays the next event.
_LEAVING_RENEWAL_INTERVAL_S = 0.25
# More than the difference between two gateways' ways to an engine.
_START_DELAY_STEP_S = 0.03
# Changes of the directory end the wait earlier.
_CHECK_INTERVAL_S = 1.0
# Pause after a refused copy, at an engine that stays and at one that leaves.
_RETRY_PAUSE_S = 0.4
_LEAVING_RETRY_PAUSE_S = 0.15
# Bound of one copy. With ten seconds slow copies held up the quick ones: mean
# worth of quiet-1 of the first site 0.714, against 0.745 with three.
_COPY_TIMEOUT_S = 3.0


class StandbyKeeper:
    """Makes the copy, renews it and moves it off engines that leave.

    Attributes:
        copy: The copy, or None while there is none.
    """

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
        source: endpoint.Endpoint,
    ) -> None:
        """Creates a keeper.

        Args:
            shared: Parts of the gateway.
            request: The request that runs.
            source: Engine that runs it.
        """
        self._components = shared
        self._request = request
        self._source = source
        self._refused: set[ids.EndpointId] = set()
        self.copy: standby_copy.StandbyCopy | None = None

    async def run(self) -> None:
        """Keeps the copy, while one is needed, until cancelled."""
        while True:
            if not self._is_needed():
                await self._components.endpoints.wait_for_change(
                    _CHECK_INTERVAL_S
                )
                continue
            if self.copy is None and self._is_leaving:
                await asyncio.sleep(self._start_delay_s())
            target = self._choose_target()
            if target is not None and await self._copy_to(target):
                await self._wait_until_renewal_due()
            else:
                await self._components.endpoints.wait_for_change(
                    self._retry_pause_s
                )

    @property
    def _is_leaving(self) -> bool:
        return not self._components.endpoints.accepts_requests(self._source)

    @property
    def _retry_pause_s(self) -> float:
        return _LEAVING_RETRY_PAUSE_S if self._is_leaving else _RETRY_PAUSE_S

    def _is_needed(self) -> bool:
        """Tells whether a copy should exist now.

        An engine of the same failure domain takes a copy within the time
        between the notice and the end of the engine that leaves; without
        one there, a copy has to be made ahead.
        """
        return (
            self._is_leaving
            or self._components.copy_targets.needs_advance_copy(self._source)
        )

    def _start_delay_s(self) -> float:
        """Returns the pause that lets smaller runs of the engine go first.

        Copies wait for each other at the engine's link, so more runs are
        saved if small ones go first. Every gateway orders by the same report.
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
        if self.copy is not None and self._is_target_ready():
            return self.copy.target
        chosen = self._components.copy_targets.choose(
            self._request, self._source, self._refused, self._is_leaving
        )
        if chosen is None:
            self._refused.clear()
        return chosen

    def _is_target_ready(self) -> bool:
        return self._components.endpoints.is_usable(self.copy.target)

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
            self._refused.add(target.endpoint_id)
            return False
        self.copy = standby_copy.StandbyCopy(
            self._source, target, result.handle, _now_s(), result.events
        )
        self._refused.clear()
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
        """Waits until the copy needs renewal or its engine leaves."""
        engine = self._request.service.engine
        renewal_interval_s = engine.copy_lifetime_s * _RENEWAL_LIFETIME_SHARE
        while self._is_target_ready():
            if self._is_leaving:
                renewal_interval_s = _LEAVING_RENEWAL_INTERVAL_S
            left_s = self.copy.renewed_s + renewal_interval_s - _now_s()
            if left_s <= 0:
                return
            await self._components.endpoints.wait_for_change(left_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
