"""ASGI application whose requests reserve memory."""

from typing import Any

from bronzeslip.memory import budget
from bronzeslip.memory import reservation

# Key of the ASGI scope under which a request finds its reservation.
SCOPE_KEY = "bronzeslip.memory"


class MemoryApp:
    """Gives each request a reservation, which ends with its response."""

    def __init__(self, app: Any, memory: budget.MemoryBudget) -> None:
        """Wraps an ASGI application.

        Args:
            app: The application.
            memory: Budget whose pool for requests is drawn on.
        """
        self._app = app
        self._memory = memory

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        with reservation.Reservation(self._memory.requests) as held:
            scope[SCOPE_KEY] = held
            await self._app(scope, receive, send)
