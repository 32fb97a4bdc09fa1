"""A reservation that waits for room."""

import asyncio


class Waiter:
    """Waits until its bytes are taken.

    Attributes:
        size_bytes: Bytes to take.
        granted: Done once they are taken.
        is_granted: Whether they are taken.
    """

    def __init__(self, size_bytes: int, granted: asyncio.Future[None]) -> None:
        self.size_bytes = size_bytes
        self.granted = granted
        self.is_granted = False

    def grant(self) -> None:
        """Ends the wait."""
        self.is_granted = True
        if not self.granted.done():
            self.granted.set_result(None)
