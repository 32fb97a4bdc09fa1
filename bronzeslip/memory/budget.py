"""Memory that a process may use for requests and responses."""

import msgspec

from bronzeslip import logs
from bronzeslip import process_memory
from bronzeslip.memory import pool

logger = logs.get_logger(__name__)

_BYTES_PER_MB = 1_000_000
# The rest of the limit covers what is not counted: unused parts of memory that
# the allocator keeps, and work of the background tasks.
_USABLE_SHARE = 0.85
# Smaller budgets could not hold a single request body of the default size.
_MIN_BYTES = 8 * 1024 * 1024
# Responses have their own part, so that requests which are in progress can end
# while new ones wait.
_RESPONSE_SHARE = 0.3
# Part of the pool for requests that large bodies leave to small requests, so
# that these are served while clients with large bodies take all they can get.
_SMALL_REQUEST_SHARE = 0.1


class MemoryBudget(msgspec.Struct, frozen=True):
    """Pools for the memory of requests and of responses.

    Attributes:
        limit_bytes: Memory at which the process is killed.
        requests: Pool for the requests of callers.
        responses: Pool for the responses of endpoints.
    """

    limit_bytes: int
    requests: pool.MemoryPool
    responses: pool.MemoryPool

    @property
    def capacity_bytes(self) -> int:
        """Size of both pools."""
        return self.requests.capacity_bytes + self.responses.capacity_bytes

    @property
    def taken_bytes(self) -> int:
        """Bytes taken from both pools."""
        return self.requests.taken_bytes + self.responses.taken_bytes


def create_for_process(limit_mb: int) -> MemoryBudget:
    """Creates the budget of this process, which has not served requests yet.

    Args:
        limit_mb: Memory at which the process is killed, in MB.
    """
    process_memory.release_large_blocks()
    return create(limit_mb * _BYTES_PER_MB, process_memory.resident_bytes())


def create(limit_bytes: int, resident_bytes: int) -> MemoryBudget:
    """Creates a budget from which nothing is taken.

    Args:
        limit_bytes: Memory at which the process is killed.
        resident_bytes: Memory that the process uses without requests.
    """
    capacity_bytes = round(limit_bytes * _USABLE_SHARE) - resident_bytes
    if capacity_bytes < _MIN_BYTES:
        logger.warning(
            "memory.budget_small",
            limit_bytes=limit_bytes,
            resident_bytes=resident_bytes,
            capacity_bytes=capacity_bytes,
        )
        capacity_bytes = _MIN_BYTES
    response_bytes = round(capacity_bytes * _RESPONSE_SHARE)
    request_bytes = capacity_bytes - response_bytes
    return MemoryBudget(
        limit_bytes,
        pool.MemoryPool(
            request_bytes, round(request_bytes * _SMALL_REQUEST_SHARE)
        ),
        pool.MemoryPool(response_bytes),
    )
