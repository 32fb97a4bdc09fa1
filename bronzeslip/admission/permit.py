"""Permit of one in-flight request."""

from collections.abc import Callable
import weakref


class Permit:
    """Counts a request as in flight until the permit is released.

    A permit that is garbage-collected without an explicit release is released
    at that point. This happens when the caller disconnects before its
    response starts.
    """

    def __init__(self, on_release: Callable[[], None]) -> None:
        self._finalizer = weakref.finalize(self, on_release)
        self._finalizer.atexit = False

    def release(self) -> None:
        """Releases the permit; further calls have no effect."""
        self._finalizer()

    def __enter__(self) -> "Permit":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
