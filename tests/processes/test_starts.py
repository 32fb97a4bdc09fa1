"""Tests of gateway processes that start in adverse conditions."""

import resource
import signal
import socket
import time
import unittest

import httpx

from tests.platform import boot_files
from tools import entry_deployment

_WAITED_S = 1.0
_MAX_DESCRIPTORS = 64


class StartsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment()
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways

    def setUp(self):
        self.gateway.process.stop()
        self.content = self.gateway.boot_path.read_bytes()
        self.addCleanup(self.gateway.boot_path.write_bytes, self.content)

    def assert_serves(self):
        self.gateway.wait_ready()
        response = self.gateway.call("after-start")
        self.assertEqual(response.status_code, httpx.codes.OK)

    def assert_waits_for(self, content):
        """Starts with a boot file and replaces it by a sound one later."""
        self.gateway.boot_path.unlink(missing_ok=True)
        if content is not None:
            self.gateway.boot_path.write_bytes(content)
        self.gateway.start()
        self.gateway.process.wait_for_line("settings.unreadable")
        self.gateway.process.send_signal(signal.SIGHUP)
        time.sleep(_WAITED_S)
        self.assertIsNone(self.gateway.process.exit_status)
        self.gateway.boot_path.write_bytes(self.content)
        self.assert_serves()

    # Guards against ending at the start if the settings file is not there.
    def test_waits_for_a_missing_boot_file(self):
        self.assert_waits_for(None)

    # Guards against ending at the start if the settings file is being written.
    def test_waits_for_the_rest_of_a_boot_file(self):
        for length in (0, len(self.content) // 2):
            with self.subTest(length=length):
                self.assert_waits_for(self.content[:length])
                self.gateway.process.stop()

    # Guards against ending at the start if a settings file is not UTF-8.
    def test_waits_for_a_boot_file_of_text(self):
        self.assert_waits_for(b"\xff\xfe" + self.content)

    # Guards against ending at a reload, and against settings that are not kept.
    def test_keeps_its_settings_until_the_boot_file_is_usable(self):
        self.gateway.start()
        self.gateway.wait_ready()
        for fault, content in boot_files.UNUSABLE.items():
            with self.subTest(fault=fault):
                self.gateway.boot_path.write_bytes(content)
                self.gateway.process.send_signal(signal.SIGHUP)
                time.sleep(0.05)
                self.assertIsNone(self.gateway.process.exit_status)
        self.gateway.write_boot_file(retry_slack=7)
        self.gateway.process.send_signal(signal.SIGHUP)
        line = self.gateway.process.wait_for_line("settings.reloaded")
        self.assertIn('"retry_slack":7', line)
        self.assert_serves()

    # Guards against a traceback or a delay if the settings never come.
    def test_shuts_down_while_it_waits_for_the_boot_file(self):
        self.gateway.boot_path.unlink()
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=number.name):
                self.gateway.start()
                self.gateway.process.wait_for_line("settings.unreadable")
                self.gateway.process.send_signal(number)
                self.assertEqual(self.gateway.process.wait(), 0)
                self.assertNotIn(
                    "Traceback", "\n".join(self.gateway.process.lines)
                )

    # Guards against ending at the start if a port is still taken.
    def test_waits_for_ports_that_are_taken(self):
        for use, port in self.gateway.ports.items():
            with self.subTest(use=use):
                address = (self.gateway.host, port)
                with socket.create_server(address):
                    self.gateway.start()
                    self.gateway.process.wait_for_line("http.port_taken")
                    time.sleep(_WAITED_S)
                    self.assertIsNone(self.gateway.process.exit_status)
                self.gateway.process.wait_for_line("http.listening")
                self.assert_serves()
                self.gateway.process.stop()
                self.assertEqual(self.gateway.process.exit_status, 0)

    # Guards against callers that wait for a port which they do not use.
    def test_serves_callers_while_other_ports_are_taken(self):
        for use in ("peers", "metrics"):
            address = (self.gateway.host, self.gateway.ports[use])
            with self.subTest(use=use), socket.create_server(address):
                self.gateway.start()
                self.assert_serves()
                self.gateway.process.stop()
                self.assertEqual(self.gateway.process.exit_status, 0)

    # Guards against readiness without a port that callers can connect to.
    def test_is_not_ready_while_the_callers_port_is_taken(self):
        address = (self.gateway.host, self.gateway.ports["callers"])
        with socket.create_server(address):
            self.gateway.start()
            self.gateway.process.wait_for_line('"gateways.counted"')
            self.gateway.process.wait_for_line('"configuration.adopted"')
            self.assertEqual(self.gateway.readiness_status(), 503)
            self.gateway.process.stop()
            self.assertEqual(self.gateway.process.exit_status, 0)

    # Guards against ending, or being busy with errors, if descriptors run out.
    def test_outlives_a_lack_of_descriptors(self):
        self.gateway.start()
        self.gateway.wait_ready()
        resource.prlimit(
            self.gateway.process.pid,
            resource.RLIMIT_NOFILE,
            (_MAX_DESCRIPTORS, _MAX_DESCRIPTORS),
        )
        address = (self.gateway.host, self.gateway.ports["callers"])
        connections = [
            socket.create_connection(address) for _ in range(_MAX_DESCRIPTORS)
        ]
        self.gateway.process.send_signal(signal.SIGHUP)
        time.sleep(_WAITED_S)
        for connection in connections:
            connection.close()
        self.assertIsNone(self.gateway.process.exit_status)
        output = "\n".join(self.gateway.process.lines)
        self.assertLess(output.count("Too many open files"), _MAX_DESCRIPTORS)
        self.assert_serves()

    # Guards against a status that tells of a failure if a shutdown is hurried.
    def test_repeated_signals_end_it_with_status_0(self):
        self.gateway.start()
        self.gateway.wait_ready()
        while self.gateway.process.exit_status is None:
            self.gateway.process.send_signal(signal.SIGTERM)
            time.sleep(0.005)
        self.assertEqual(self.gateway.process.exit_status, 0)


if __name__ == "__main__":
    unittest.main()
