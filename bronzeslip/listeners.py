"""Callbacks for the events of an object."""

from collections.abc import Callable
from typing import Generic
from typing import ParamSpec

from bronzeslip import isolation
from bronzeslip import logs

logger = logs.get_logger(__name__)

ArgumentsP = ParamSpec("ArgumentsP")


class Listeners(Generic[ArgumentsP]):
    """Calls each registered callback, whatever the others raise."""

    def __init__(self, event: str) -> None:
        """Creates listeners of an event.

        Args:
            event: Name of the event in log lines about failed callbacks.
        """
        self._event = event
        # Ordered, without duplicates.
        self._listeners: dict[Callable[ArgumentsP, object], None] = {}

    def __bool__(self) -> bool:
        """Returns whether there are callbacks."""
        return bool(self._listeners)

    def add(self, listener: Callable[ArgumentsP, object]) -> None:
        """Registers a callback."""
        self._listeners[listener] = None

    def remove(self, listener: Callable[ArgumentsP, object]) -> None:
        """Removes a callback, if it is registered."""
        self._listeners.pop(listener, None)

    def notify(
        self, *args: ArgumentsP.args, **kwargs: ArgumentsP.kwargs
    ) -> None:
        """Calls all callbacks; logs the exceptions that they raise."""
        for listener in tuple(self._listeners):
            with isolation.isolated(
                logger, "listener.failed", listener_of=self._event
            ):
                listener(*args, **kwargs)
