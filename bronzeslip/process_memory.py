"""Memory of this process."""

import ctypes
import resource

from bronzeslip import logs

logger = logs.get_logger(__name__)

_STATUS_FILE = "/proc/self/statm"
_RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes.

    Raises:
        OSError: If the kernel does not tell.
    """
    with open(_STATUS_FILE, encoding="ascii") as file:
        pages = int(file.read().split()[_RESIDENT_FIELD])
    return pages * resource.getpagesize()


def release_unused() -> None:
    """Returns freed memory that the C library keeps to the system."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError) as error:
        # Other C libraries than glibc have no such function.
        logger.info("memory.not_released", reason=str(error))
