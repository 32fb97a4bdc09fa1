"""Orders that lead an engine from its state to its assignment."""

from bronzeslip.configuration import assignment
from bronzeslip.engine import messages


def orders_needed(
    state: messages.EngineState,
    wanted: assignment.Assignment,
    fencing_number: int,
) -> list[messages.EngineOrder]:
    """Lists the orders in the sequence in which they must be sent.

    Args:
        state: What the engine has loaded.
        wanted: What it is to have loaded.
        fencing_number: Number that the orders carry.

    Returns:
        The orders; empty if the engine has what is wanted.
    """
    orders = []
    if (state.model, state.model_version) != (
        wanted.model,
        wanted.model_version,
    ):
        orders.append(
            messages.EngineOrder(
                messages.OrderKind.LOAD_MODEL,
                wanted.model,
                wanted.model_version,
                fencing_number,
            )
        )
    for name, version in sorted(wanted.adapters.items()):
        if state.adapters.get(name) != version:
            orders.append(
                messages.EngineOrder(
                    messages.OrderKind.LOAD_ADAPTER,
                    name,
                    version,
                    fencing_number,
                )
            )
    if state.role != wanted.role:
        orders.append(
            messages.EngineOrder(
                messages.OrderKind.SET_ROLE, wanted.role, "", fencing_number
            )
        )
    return orders


def interrupts_work(order: messages.EngineOrder) -> bool:
    """Tells whether the engine must be idle to carry an order out."""
    return order.kind is not messages.OrderKind.LOAD_ADAPTER
