"""Closes a connection whose peer is still sending."""

import asyncio

_MAX_TIME_S = 1.0
_MAX_BYTES = 1024 * 1024


class LingeringClose:
    """Ends the own side of a connection and discards what still arrives.

    A connection that is closed with unread data is reset, and its peer might
    not receive what was sent before.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Ends the own side once what was written has been sent."""
        self._transport = transport
        self._remaining_bytes = _MAX_BYTES
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
            self._timer = loop.call_later(_MAX_TIME_S, transport.abort)
        else:
            transport.close()
            self._timer = None

    def discard(self, size_bytes: int) -> None:
        """Counts discarded bytes and closes the connection after too many."""
        self._remaining_bytes -= size_bytes
        if self._remaining_bytes < 0:
            self._transport.abort()

    def stop(self) -> None:
        """Stops the timer once the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
