"""Tests of bronzeslip.platform.settings_reloader."""

import pathlib
import tempfile
import unittest

from bronzeslip.platform import boot_file
from bronzeslip.platform import settings_reloader

_SETTINGS_FILE = """
node_name = "front-1"
ip = "10.0.0.1"
port_range = [7200, 7215]
zone = "a-1"
[zones]
a-1 = "a"
[listen]
front = "10.0.0.1:8740"
ready = "10.0.0.1:8749"
[bounds]
drain_ms = 2500
grace_s = 8
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
[platform]
address = "10.0.0.9:8742"
"""


class SettingsReloaderTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"
        self.path.write_text(_SETTINGS_FILE)
        self.bounds = []
        self.reloader = settings_reloader.SettingsReloader(
            self.path, boot_file.read(self.path), self.bounds.append
        )

    def test_unchanged_file_is_not_applied(self):
        self.reloader.reload()
        self.assertEqual(self.bounds, [])

    def test_changed_bounds_are_applied_once(self):
        self.path.write_text(_SETTINGS_FILE.replace("slack = 56", "slack = 7"))
        self.reloader.reload()
        self.reloader.reload()
        self.assertEqual([bounds.retry_slack for bounds in self.bounds], [7])

    def test_invalid_file_is_ignored(self):
        for text in ("bounds = [", "node_name = 7", ""):
            self.path.write_text(text)
            self.reloader.reload()
        self.path.unlink()
        self.reloader.reload()
        self.assertEqual(self.bounds, [])
