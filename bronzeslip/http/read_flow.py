"""Flow control that tells when the application reads on."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http import flow_control


class ReadFlow(flow_control.FlowControl):
    """Records whether the application wants data; the protocol applies it.

    Whether the transport reads also depends on what has been received but not
    parsed, which only the protocol knows.
    """

    def __init__(
        self, transport: asyncio.Transport, on_change: Callable[[], None]
    ) -> None:
        """Creates a flow that is not paused.

        Args:
            transport: Transport of the connection.
            on_change: Called after reading was paused or resumed.
        """
        super().__init__(transport)
        self._on_change = on_change

    def pause_reading(self) -> None:
        """Stops reading until the application asks for more."""
        if not self.read_paused:
            self.read_paused = True
            self._on_change()

    def resume_reading(self) -> None:
        """Reads on."""
        if self.read_paused:
            self.read_paused = False
            self._on_change()
