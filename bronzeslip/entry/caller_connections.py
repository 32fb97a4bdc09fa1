"""Number of connections that a gateway accepts from callers."""

from bronzeslip.entry import vm_config
from bronzeslip.http import connection_slots
from bronzeslip.memory import budget

# The rest of the memory is for the requests on these connections.
_MEMORY_SHARE = 0.5
_FILE_DESCRIPTORS = 200
# The rest is for connections to endpoints, to the store and of other gateways.
_DESCRIPTOR_SHARE = 0.55


def create_slots(
    limits: vm_config.ProcessLimits, memory: budget.MemoryBudget
) -> connection_slots.ConnectionSlots:
    """Creates the slots for the connections of callers.

    Args:
        limits: Limits that the process must keep.
        memory: Memory that the connections take.
    """
    max_count = int(
        memory.requests.capacity_bytes
        * _MEMORY_SHARE
        / connection_slots.CONNECTION_BYTES
    )
    if limits.max_descriptors is not None:
        sockets = max(limits.max_descriptors - _FILE_DESCRIPTORS, 0)
        max_count = min(max_count, int(sockets * _DESCRIPTOR_SHARE))
    return connection_slots.ConnectionSlots(max(max_count, 1), memory.requests)
