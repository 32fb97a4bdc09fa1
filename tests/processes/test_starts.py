"""Tests of gateway processes that start in adverse conditions."""

import signal
import time
import unittest

import httpx

from tools import entry_deployment

_WAITED_S = 1.0


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


if __name__ == "__main__":
    unittest.main()
