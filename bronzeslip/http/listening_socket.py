"""Listening socket for asyncio that outlasts a lack of descriptors."""

import errno
import socket
from typing import Any

_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ListeningSocket(socket.socket):
    """Reports a lack of descriptors once each time that asyncio accepts.

    asyncio accepts as many connections in a row as the backlog holds, logs each
    error, and schedules a further attempt for each. A lack of descriptors would
    keep the process busy with thousands of these.
    """

    _is_exhausted = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection.

        Raises:
            BlockingIOError: If none is waiting, or after another error, so that
                asyncio stops until its next attempt.
            OSError: If descriptors or memory have run out.
        """
        if self._is_exhausted:
            self._is_exhausted = False
            raise BlockingIOError(errno.EAGAIN, "descriptors have run out")
        try:
            return super().accept()
        except OSError as error:
            self._is_exhausted = error.errno in _EXHAUSTED
            raise
