"""Tests of tools.free_port."""

import pathlib
import socket
import unittest

from tools import free_port

_EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        ports = [free_port.find() for _ in range(200)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_ports_are_none_that_outgoing_connections_get(self):
        first = int(_EPHEMERAL_RANGE.read_text().split()[0])
        self.assertLess(max(free_port.find() for _ in range(50)), first)

    def test_port_that_is_listened_on_is_passed_over(self):
        port = free_port.find()
        with socket.create_server(("127.0.0.1", port)):
            self.assertFalse(free_port._is_free(port))
        self.assertTrue(free_port._is_free(port))
