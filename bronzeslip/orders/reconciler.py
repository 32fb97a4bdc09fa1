"""Brings one engine to the assignment of its pool and keeps it there."""

import asyncio
import contextlib
import random

import tenacity
import xxhash

from bronzeslip import logs
from bronzeslip.configuration import assignment
from bronzeslip.configuration import errors as configuration_errors
from bronzeslip.configuration import in_force
from bronzeslip.engine import client as engine_client
from bronzeslip.engine import errors as engine_errors
from bronzeslip.engine import messages
from bronzeslip.orders import errors
from bronzeslip.orders import lease_keeper
from bronzeslip.orders import order_gate
from bronzeslip.orders import plan
from bronzeslip.orders import rollout_slots
from bronzeslip.orders import work_gate
from bronzeslip.settings import sidecar
from bronzeslip.store import client as platform_client
from bronzeslip.store import errors as platform_errors

logger = logs.get_logger(__name__)

_WAITING_INTERVAL_FACTOR = 6


class Reconciler:
    """Orders one engine, under a lease and within the pool's slots."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        platform: platform_client.PlatformClient,
        engine: engine_client.EngineClient,
        configuration: in_force.ActiveConfiguration,
        work: work_gate.WorkGate,
        lease: lease_keeper.LeaseKeeper,
        slots: rollout_slots.RolloutSlots,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._engine = engine
        self._configuration = configuration
        self._work = work
        self._lease = lease
        self._slots = slots
        self._gate = order_gate.OrderGate(engine, lease)
        self._first_slot = xxhash.xxh32_intdigest(settings.endpoint_id.encode())

    async def run(self) -> None:
        """Reads the engine back and repairs it until cancelled."""
        while True:
            interval_s = self._settings.order_check_interval_s
            try:
                if not await self.reconcile():
                    interval_s *= _WAITING_INTERVAL_FACTOR
            except (
                errors.OrderError,
                engine_errors.EngineError,
                platform_errors.PlatformError,
            ) as error:
                logger.warning("orders.not_reconciled", reason=error.message)
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))

    async def reconcile(self) -> bool:
        """Brings the engine to its assignment, once.

        Returns:
            Whether the engine now has what is wanted.

        Raises:
            errors.OrderError: If an order was not carried out for certain.
            engine_errors.EngineError: If the engine gives no answer.
        """
        wanted = self._wanted()
        if wanted is None or await self._is_reached(wanted):
            return True
        slot = await self._slots.try_acquire(
            wanted.max_unavailable, self._first_slot
        )
        if slot is None:
            return False
        try:
            if not await self._lease.try_acquire():
                return False
            return await self._change_while_kept(slot)
        finally:
            await self._lease.release()
            await slot.release()

    async def _change_while_kept(self, slot: lease_keeper.LeaseKeeper) -> bool:
        keeping = [
            asyncio.create_task(slot.keep()),
            asyncio.create_task(self._lease.keep()),
        ]
        try:
            return await self._change(slot)
        finally:
            self._work.resume()
            for task in keeping:
                task.cancel()
            for task in keeping:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    async def _change(self, slot: lease_keeper.LeaseKeeper) -> bool:
        while True:
            wanted = self._wanted()
            order = await self._next_order(wanted)
            if order is None:
                return True
            if plan.interrupts_work(order):
                await self._stop_work()
            if order.kind is messages.OrderKind.LOAD_MODEL:
                await self._acquire_weights(wanted.weights_bytes)
            if self._wanted() != wanted:
                continue
            slot.check()
            await self._gate.send(self._stamped(order))
            logger.info(
                "orders.sent",
                endpoint_id=self._settings.endpoint_id,
                kind=order.kind.value,
                name=order.name,
                version=order.version,
            )

    async def _next_order(
        self, wanted: assignment.Assignment | None
    ) -> messages.EngineOrder | None:
        if wanted is None:
            return None
        state = await self._engine.state()
        needed = plan.orders_needed(state, wanted, 0)
        return needed[0] if needed else None

    async def _is_reached(self, wanted: assignment.Assignment) -> bool:
        return await self._next_order(wanted) is None

    async def _stop_work(self) -> None:
        self._work.pause()
        await self._work.wait_idle()

    async def _acquire_weights(self, size_bytes: int) -> None:
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_result(lambda grant: not grant.granted),
            wait=_wait_as_told,
        )
        await retrying(self._platform.acquire_weights, size_bytes)

    def _stamped(self, order: messages.EngineOrder) -> messages.EngineOrder:
        return messages.EngineOrder(
            order.kind, order.name, order.version, self._lease.fencing_number
        )

    def _wanted(self) -> assignment.Assignment | None:
        try:
            pools = self._configuration.index.document.pools
        except configuration_errors.NoConfigurationError:
            return None
        declared = pools.get(self._settings.pool)
        return declared.assignment if declared else None


def _wait_as_told(state: tenacity.RetryCallState) -> float:
    return state.outcome.result().retry_after_s
