"""Memory of this process."""

import ctypes
import gc
import resource

from bronzeslip import logs

logger = logs.get_logger(__name__)

# Parameter of mallopt: size from which blocks have a mapping of their own.
_MMAP_THRESHOLD_PARAMETER = -3
_LARGE_BLOCK_BYTES = 128 * 1024

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


def release_large_blocks() -> None:
    """Makes the C library return large blocks to the system when freed.

    glibc does so until the first of them is freed; then it keeps blocks of that
    size, between smaller ones that are still used.
    """
    _call_c_library("mallopt", _MMAP_THRESHOLD_PARAMETER, _LARGE_BLOCK_BYTES)


def keep_present_objects() -> None:
    """Leaves all objects that exist now out of garbage collections.

    What a process has set up lasts until its end; a collection of the rest
    takes a fraction of the time and comes more often.
    """
    gc.freeze()


def release_unused() -> None:
    """Returns memory that is no longer used to the system.

    Errors, with the buffers of the calls that failed, are often part of
    reference cycles; the C library keeps freed memory.
    """
    gc.collect()
    _call_c_library("malloc_trim", 0)


def _call_c_library(name: str, *arguments: int) -> None:
    try:
        getattr(ctypes.CDLL(None), name)(*arguments)
    except (AttributeError, OSError) as error:
        # Other C libraries than glibc lack these functions.
        logger.info("memory.not_supported", name=name, reason=str(error))
