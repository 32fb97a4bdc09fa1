"""Interface for pausing the admission of requests to an engine."""

from typing import Protocol


class WorkAdmission(Protocol):
    """Admission of requests, paused for orders that require an idle engine."""

    def pause(self) -> None:
        """Refuses new requests until resume is called."""

    def resume(self) -> None:
        """Accepts new requests again."""

    async def wait_idle(self) -> None:
        """Waits until no request is running or queued."""
