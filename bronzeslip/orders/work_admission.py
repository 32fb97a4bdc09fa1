"""Interface to the admission of work, which an order may pause."""

from typing import Protocol


class WorkAdmission(Protocol):
    """Admission of work that can be paused while an engine changes."""

    def pause(self) -> None:
        """Refuses new work until resume is called."""

    def resume(self) -> None:
        """Accepts new work again."""

    async def wait_idle(self) -> None:
        """Waits until no work is running or queued."""
