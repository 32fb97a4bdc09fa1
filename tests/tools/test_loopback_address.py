"""Tests of tools.loopback_address."""

import pathlib
import socket
import unittest

from tools import loopback_address

_EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
_LARGEST_PROCESS_ID = pathlib.Path("/proc/sys/kernel/pid_max")
_SHARED_HOST = "127.0.0.1"


class LoopbackAddressTest(unittest.TestCase):
    def test_ports_are_unique(self):
        ports = [loopback_address.next_port() for _ in range(200)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_ports_are_below_the_ephemeral_range(self):
        first = int(_EPHEMERAL_RANGE.read_text().split()[0])
        self.assertLess(
            max(loopback_address.next_port() for _ in range(50)), first
        )

    def test_each_process_has_its_own_address(self):
        largest = int(_LARGEST_PROCESS_ID.read_text())
        ids = {*range(2, 70_000), *range(largest - 300, largest)}
        hosts = {loopback_address.host(process_id) for process_id in ids}
        self.assertEqual(len(hosts), len(ids))
        self.assertNotIn(_SHARED_HOST, hosts)

    def test_port_in_use_on_the_shared_address_is_free_on_the_own_address(self):
        port = loopback_address.next_port()
        with (
            socket.create_server((_SHARED_HOST, port)),
            socket.create_server((loopback_address.host(), port)) as listener,
        ):
            self.assertEqual(
                listener.getsockname(), (loopback_address.host(), port)
            )


if __name__ == "__main__":
    unittest.main()
