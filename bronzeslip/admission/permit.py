"""Leave of one request to be in flight."""

from collections.abc import Callable
import weakref


class Permit:
    """Counts a request as in flight until it is released.

    A permit that is dropped without a release, such as that of an answer
    whose caller was gone before it began, is released with it.
    """

    def __init__(self, on_release: Callable[[], None]) -> None:
        self._finalizer = weakref.finalize(self, on_release)
        self._finalizer.atexit = False

    def release(self) -> None:
        """Ends the request; a second release does nothing."""
        self._finalizer()

    def __enter__(self) -> "Permit":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
