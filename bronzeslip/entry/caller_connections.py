"""Connections that a gateway accepts, and what they may hold."""

from bronzeslip.entry import vm_config
from bronzeslip.http import connection_slots
from bronzeslip.memory import budget

# The rest of the memory is for the requests on these connections.
_MEMORY_SHARE = 0.5
# Readiness checks, metrics and other gateways need few connections, but must
# not be kept out by callers.
_INTERNAL_MEMORY_SHARE = 0.1
_FILE_DESCRIPTORS = 200
# The rest is for connections to endpoints and to the store.
_DESCRIPTOR_SHARE = 0.55
_INTERNAL_DESCRIPTOR_SHARE = 0.15


def create_slots(
    limits: vm_config.ProcessLimits, memory: budget.MemoryBudget
) -> connection_slots.ConnectionSlots:
    """Creates the slots for the connections of callers.

    Args:
        limits: Limits that the process must keep.
        memory: Memory that the connections take.
    """
    return _create_slots(limits, memory, _MEMORY_SHARE, _DESCRIPTOR_SHARE)


def create_internal_slots(
    limits: vm_config.ProcessLimits, memory: budget.MemoryBudget
) -> connection_slots.ConnectionSlots:
    """Creates the slots that all listeners but that of callers share.

    Args:
        limits: Limits that the process must keep.
        memory: Memory that the connections take.
    """
    return _create_slots(
        limits, memory, _INTERNAL_MEMORY_SHARE, _INTERNAL_DESCRIPTOR_SHARE
    )


def _create_slots(
    limits: vm_config.ProcessLimits,
    memory: budget.MemoryBudget,
    memory_share: float,
    descriptor_share: float,
) -> connection_slots.ConnectionSlots:
    max_bytes = int(memory.requests.capacity_bytes * memory_share)
    max_count = max_bytes // connection_slots.CONNECTION_BYTES
    if limits.max_descriptors is not None:
        sockets = max(limits.max_descriptors - _FILE_DESCRIPTORS, 0)
        max_count = min(max_count, int(sockets * descriptor_share))
    return connection_slots.ConnectionSlots(
        max(max_count, 1), memory.requests, max_bytes
    )
