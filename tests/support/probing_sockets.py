"""Which TCP connections of this machine have keep-alive probes on."""

import pathlib

_ESTABLISHED = "01"
# Value of the timer field while no data but a probe is due.
_KEEPALIVE_TIMER = "02"


def are_probed(server_port):
    """Returns, for each connection to a port, whether its client probes it."""
    return [
        fields[5].partition(":")[0] == _KEEPALIVE_TIMER
        for fields in _lines()
        if fields[3] == _ESTABLISHED and _port_of(fields[2]) == server_port
    ]


def _lines():
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return [line.split() for line in lines]


def _port_of(address):
    return int(address.partition(":")[2], 16)
