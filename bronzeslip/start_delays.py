"""Delays between attempts of a process that can't start yet."""

from collections.abc import Iterator

_MIN_S = 0.05
_MAX_S = 0.5
_GROWTH = 2.0


def generate() -> Iterator[float]:
    """Yields delays without end, in seconds.

    They grow, up to a limit that keeps the start soon after its cause is gone.
    """
    delay_s = _MIN_S
    while True:
        yield delay_s
        delay_s = min(delay_s * _GROWTH, _MAX_S)
