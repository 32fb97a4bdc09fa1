"""Listening socket whose port may still be taken."""

import asyncio
import socket

from bronzeslip import logs
from bronzeslip import start_delays
from bronzeslip.http import listening_socket
from bronzeslip.settings import http

logger = logs.get_logger(__name__)

_BACKLOG = 2048
_MS_PER_S = 1000
# Left to itself, the kernel lets it grow to megabytes. It is set before the
# connection is accepted, as the kernel may drop what exceeds a reduced one.
_RECEIVE_BUFFER_BYTES = 64 * 1024
# Otherwise thousands of responses fit in that nobody reads.
_SEND_BUFFER_BYTES = 64 * 1024


class Listener:
    """Listens on the address of an HTTP server, again while that fails.

    The process that ran before may not have released the port yet.
    """

    def __init__(self, settings: http.HttpSettings) -> None:
        """Creates a listener that does not listen yet.

        Args:
            settings: Address and timeouts.
        """
        self._address = (settings.listen_address, settings.http_port)
        self._stall_timeout_ms = round(
            settings.caller_stall_timeout_s * _MS_PER_S
        )
        self._socket: socket.socket | None = None
        self._has_failed = False

    @property
    def is_open(self) -> bool:
        """Whether callers can connect."""
        return self._socket is not None

    @property
    def port(self) -> int:
        """Port that the socket listens on, or the one it will listen on."""
        if self._socket is None:
            return self._address[1]
        return self._socket.getsockname()[1]

    def try_open(self) -> None:
        """Listens unless that fails for now."""
        try:
            self._socket = self._create_socket()
        except OSError as error:
            if not self._has_failed:
                logger.warning(
                    "http.port_taken", port=self.port, reason=str(error)
                )
            self._has_failed = True
        else:
            if self._has_failed:
                logger.info("http.listening", port=self.port)

    async def wait_open(self) -> socket.socket:
        """Tries again until the socket listens; returns it."""
        delays_s = start_delays.generate()
        while self._socket is None:
            await asyncio.sleep(next(delays_s))
            self.try_open()
        return self._socket

    def close(self) -> None:
        """Closes the socket if it listens."""
        if self._socket is not None:
            self._socket.close()

    def _create_socket(self) -> socket.socket:
        created = socket.create_server(self._address, backlog=_BACKLOG)
        listening = listening_socket.ListeningSocket(fileno=created.detach())
        # Accepted sockets inherit these options. asyncio itself sets
        # TCP_NODELAY only on sockets created with an explicit protocol number.
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Bounds what the kernel holds of what is not read, as the budget does
        # not count it. The kernel doubles the value and uses half for itself.
        for option, size_bytes in (
            (socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
        ):
            listening.setsockopt(socket.SOL_SOCKET, option, size_bytes)
        # Also applies when the peer keeps its receive window closed, not only
        # to missing acknowledgements.
        listening.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._stall_timeout_ms
        )
        return listening
