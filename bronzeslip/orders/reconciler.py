"""Reconciles one engine with the assignment of its pool."""

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
from bronzeslip.orders import order_sender
from bronzeslip.orders import plan
from bronzeslip.orders import rollout_slots
from bronzeslip.orders import work_admission
from bronzeslip.settings import sidecar
from bronzeslip.store import client as platform_client
from bronzeslip.store import errors as platform_errors

logger = logs.get_logger(__name__)

_BLOCKED_INTERVAL_FACTOR = 6


class Reconciler:
    """Sends orders to one engine, under a lease and a rollout slot."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        platform: platform_client.PlatformClient,
        engine: engine_client.EngineClient,
        configuration: in_force.ActiveConfiguration,
        admission: work_admission.WorkAdmission,
        lease: lease_keeper.LeaseHandle,
        slots: rollout_slots.RolloutSlots,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._engine = engine
        self._configuration = configuration
        self._admission = admission
        self._lease = lease
        self._slots = slots
        self._order_sender = order_sender.OrderSender(engine, lease)
        self._first_slot = xxhash.xxh32_intdigest(settings.endpoint_id.encode())

    async def run(self) -> None:
        """Reconciles the engine periodically until cancelled."""
        while True:
            interval_s = self._settings.order_check_interval_s
            try:
                if not await self.reconcile():
                    interval_s *= _BLOCKED_INTERVAL_FACTOR
            except (
                errors.OrderError,
                engine_errors.EngineError,
                platform_errors.PlatformError,
            ) as error:
                logger.warning("orders.not_reconciled", reason=error.message)
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))

    async def reconcile(self) -> bool:
        """Brings the engine to its assignment once.

        Returns:
            Whether the engine now matches its assignment.

        Raises:
            errors.OrderError: If an order was not or may not have been carried
                out.
            engine_errors.EngineError: If a request to the engine fails.
        """
        desired = self._desired_assignment()
        if desired is None or await self._matches(desired):
            return True
        slot = await self._slots.try_acquire(
            desired.max_unavailable, self._first_slot
        )
        if slot is None:
            return False
        try:
            if not await self._lease.try_acquire():
                return False
            return await self._send_orders_while_renewing(slot)
        finally:
            await self._lease.release()
            await slot.release()

    async def _send_orders_while_renewing(
        self, slot: lease_keeper.LeaseHandle
    ) -> bool:
        renewals = [
            asyncio.create_task(slot.renew_until_lost()),
            asyncio.create_task(self._lease.renew_until_lost()),
        ]
        try:
            return await self._send_orders(slot)
        finally:
            self._admission.resume()
            for task in renewals:
                task.cancel()
            for task in renewals:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    async def _send_orders(self, slot: lease_keeper.LeaseHandle) -> bool:
        while True:
            desired = self._desired_assignment()
            order = await self._next_order(desired)
            if order is None:
                return True
            if plan.requires_idle_engine(order):
                await self._wait_for_idle_engine()
            if order.kind is messages.OrderKind.LOAD_MODEL:
                await self._acquire_weights(desired.weights_bytes)
            if self._desired_assignment() != desired:
                continue
            slot.check_held()
            await self._order_sender.send(self._with_fencing_number(order))
            logger.info(
                "orders.sent",
                endpoint_id=self._settings.endpoint_id,
                kind=order.kind.value,
                name=order.name,
                version=order.version,
            )

    async def _next_order(
        self, desired: assignment.Assignment | None
    ) -> messages.EngineOrder | None:
        if desired is None:
            return None
        state = await self._engine.state()
        required = plan.required_orders(state, desired, 0)
        return required[0] if required else None

    async def _matches(self, desired: assignment.Assignment) -> bool:
        return await self._next_order(desired) is None

    async def _wait_for_idle_engine(self) -> None:
        self._admission.pause()
        await self._admission.wait_idle()

    async def _acquire_weights(self, size_bytes: int) -> None:
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_result(lambda grant: not grant.granted),
            wait=_wait_retry_after,
        )
        await retrying(self._platform.acquire_weights, size_bytes)

    def _with_fencing_number(
        self, order: messages.EngineOrder
    ) -> messages.EngineOrder:
        return messages.EngineOrder(
            order.kind, order.name, order.version, self._lease.fencing_number
        )

    def _desired_assignment(self) -> assignment.Assignment | None:
        try:
            pools = self._configuration.index.document.pools
        except configuration_errors.NoConfigurationError:
            return None
        pool = pools.get(self._settings.pool)
        return pool.assignment if pool else None


def _wait_retry_after(state: tenacity.RetryCallState) -> float:
    return state.outcome.result().retry_after_s
