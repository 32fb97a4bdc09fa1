"""Connections that a gateway accepts, and what they may hold."""

from bronzeslip.entry import vm_config
from bronzeslip.http import connection_slots
from bronzeslip.memory import budget

# Readiness checks, metrics and other gateways need few connections, but must
# not be kept out by callers.
_INTERNAL_MEMORY_SHARE = 0.1
_INTERNAL_DESCRIPTOR_SHARE = 0.15


def create_slots(
    limits: vm_config.ProcessLimits, memory: budget.MemoryBudget
) -> connection_slots.ConnectionSlots:
    """Creates the slots for the connections of callers.

    Args:
        limits: Limits that the process must keep.
        memory: Memory that the connections take.
    """
    return connection_slots.create(memory.requests, limits.max_descriptors)


def create_internal_slots(
    limits: vm_config.ProcessLimits, memory: budget.MemoryBudget
) -> connection_slots.ConnectionSlots:
    """Creates the slots that all listeners but that of callers share.

    Args:
        limits: Limits that the process must keep.
        memory: Memory that the connections take.
    """
    return connection_slots.create(
        memory.requests,
        limits.max_descriptors,
        _INTERNAL_MEMORY_SHARE,
        _INTERNAL_DESCRIPTOR_SHARE,
    )
