"""Sends orders to an engine; no other module may send them."""

from bronzeslip.engine import client
from bronzeslip.engine import errors as engine_errors
from bronzeslip.engine import messages
from bronzeslip.orders import errors
from bronzeslip.orders import lease_keeper


class OrderSender:
    """Sends orders only while the engine's lease is held."""

    def __init__(
        self, engine: client.EngineClient, lease: lease_keeper.LeaseHandle
    ) -> None:
        self._engine = engine
        self._lease = lease

    async def send(self, order: messages.EngineOrder) -> messages.EngineState:
        """Sends an order.

        Args:
            order: Order to send.

        Returns:
            State of the engine after the order.

        Raises:
            errors.LeaseNotHeldError: If the lease is not held; nothing was
                sent.
            errors.OrderRefusedError: If the engine has seen a higher fencing
                number.
            errors.OrderOutcomeUnknownError: If the engine did not
                respond.
        """
        self._lease.check_held()
        try:
            return await self._engine.send_order(order)
        except engine_errors.EngineRefusedError as error:
            raise errors.OrderRefusedError(error.message) from error
        except engine_errors.EngineError as error:
            raise errors.OrderOutcomeUnknownError(error.message) from error
