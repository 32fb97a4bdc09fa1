"""Repeated calls in the background of a trial."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading

_INTERVAL_S = 0.05


@contextlib.contextmanager
def repeat(sample: Callable[[], None]) -> Iterator[None]:
    """Calls a function in a thread, again and again and after the context."""
    stop = threading.Event()

    def run() -> None:
        while not stop.wait(_INTERVAL_S):
            sample()
        sample()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
