"""Orders that change the models and adapters loaded by the engine stand-in."""

from bronzeslip.engine import messages


class StaleOrderError(Exception):
    """The fencing number of an order is lower than one already seen."""


class OrderProcessor:
    """Applies orders to the loaded model, the adapters and the role."""

    def __init__(self, model: str, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._model = model
        self._model_version = "1"
        self._adapters: dict[str, str] = {}
        self._role = "serve"
        self._fencing_number = 0
        self.applied: list[messages.EngineOrder] = []

    @property
    def state(self) -> messages.EngineState:
        """Current model, adapters, role and fencing number."""
        fencing_number = self._fencing_number if self._checks_fencing else 0
        return messages.EngineState(
            self._model,
            self._model_version,
            dict(self._adapters),
            self._role,
            fencing_number,
        )

    def apply(self, order: messages.EngineOrder) -> messages.EngineState:
        """Applies an order and returns the new state.

        Raises:
            StaleOrderError: If fencing is checked and the fencing number of the
                order is lower than the highest one seen.
        """
        if self._checks_fencing and order.fencing_number < self._fencing_number:
            raise StaleOrderError(str(self._fencing_number))
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        if order.kind is messages.OrderKind.LOAD_MODEL:
            self._model, self._model_version = order.name, order.version
        elif order.kind is messages.OrderKind.LOAD_ADAPTER:
            self._adapters[order.name] = order.version
        else:
            self._role = order.name
        self.applied.append(order)
        return self.state
