"""Orders that bring an engine from its state to its assignment."""

from bronzeslip.configuration import assignment
from bronzeslip.engine import messages


def required_orders(
    state: messages.EngineState,
    desired: assignment.Assignment,
    fencing_number: int,
) -> list[messages.EngineOrder]:
    """Returns the orders in the sequence in which they must be sent.

    Args:
        state: What the engine has loaded.
        desired: What the engine must have loaded.
        fencing_number: Fencing number of the orders.

    Returns:
        The orders; empty if the engine matches its assignment.
    """
    orders = []
    if (state.model, state.model_version) != (
        desired.model,
        desired.model_version,
    ):
        orders.append(
            messages.EngineOrder(
                messages.OrderKind.LOAD_MODEL,
                desired.model,
                desired.model_version,
                fencing_number,
            )
        )
    for name, version in sorted(desired.adapters.items()):
        if state.adapters.get(name) != version:
            orders.append(
                messages.EngineOrder(
                    messages.OrderKind.LOAD_ADAPTER,
                    name,
                    version,
                    fencing_number,
                )
            )
    if state.role != desired.role:
        orders.append(
            messages.EngineOrder(
                messages.OrderKind.SET_ROLE, desired.role, "", fencing_number
            )
        )
    return orders


def requires_idle_engine(order: messages.EngineOrder) -> bool:
    """Returns whether the engine must be idle to carry out an order."""
    return order.kind is not messages.OrderKind.LOAD_ADAPTER
