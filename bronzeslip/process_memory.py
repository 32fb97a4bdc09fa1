"""Memory of this process."""

import resource

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
