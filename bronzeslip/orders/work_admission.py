"""Interface to the admission of work that an order interrupts."""

from typing import Protocol


class WorkAdmission(Protocol):
    """Holds new work back while an engine changes."""

    def pause(self) -> None:
        """Refuses new work until resume is called."""

    def resume(self) -> None:
        """Takes new work again."""

    async def wait_idle(self) -> None:
        """Waits until nothing runs or waits."""
