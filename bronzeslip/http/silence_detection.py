"""Socket options that end a connection whose peer has gone silent."""

import socket

_MS_PER_S = 1000
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
# Unanswered TCP keep-alive probes; a dead peer is detected when the third
# probe is due at the latest.
_PROBE_COUNT = 2

SocketOption = tuple[int, int, int]


def socket_options(silence_s: float) -> tuple[SocketOption, ...]:
    """Returns the options for a connection that must not stay silent.

    A firewall may drop the state of a connection without a reset. Probes show
    it while nothing is sent, and the user timeout while data is unacknowledged.

    Args:
        silence_s: Time after which unacknowledged data or probes end the
            connection, in seconds.
    """
    return (
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(silence_s * _MS_PER_S),
        ),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
    )
