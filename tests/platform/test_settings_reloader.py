"""Tests of bronzeslip.platform.settings_reloader."""

import pathlib
import tempfile
import unittest
from unittest import mock

from bronzeslip.platform import boot_file
from bronzeslip.platform import boot_file_reader
from bronzeslip.platform import settings_reloader
from tests.platform import boot_files


class SettingsReloaderTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"
        self.path.write_text(boot_files.SOUND)
        self.bounds = []
        self.logged = []
        self.reloader = settings_reloader.SettingsReloader(
            self.path, boot_file.read(self.path), self.bounds.append
        )

    def test_unchanged_file_is_not_applied(self):
        self.reloader.reload()
        self.assertEqual(self.bounds, [])

    def test_changed_bounds_are_applied_once(self):
        self.path.write_text(
            boot_files.SOUND.replace("slack = 56", "slack = 7")
        )
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

    # Guards against unusable bounds and against exceptions, which would end
    # the process.
    def test_settings_are_kept_until_the_file_is_usable(self):
        unusable = boot_files.UNUSABLE | boot_files.UNUSABLE_BOUNDS
        for fault, content in unusable.items():
            with self.subTest(fault=fault):
                self.path.write_bytes(content)
                self.reloader.reload()
                self.assertEqual(self.bounds, [])
        self.path.write_text(
            boot_files.SOUND.replace("grace_s = 8", "grace_s = 4")
        )
        self.reloader.reload()
        self.assertEqual([bounds.grace_s for bounds in self.bounds], [4])

    # Guards against a line every few seconds while a file stays unusable.
    def test_a_failure_is_logged_once_until_the_file_is_usable(self):
        for content in ("", "", boot_files.SOUND, "", "bounds = ["):
            self.path.write_text(content)
            with mock.patch.object(boot_file_reader.logger, "error") as error:
                self.reloader.reload()
            self.logged.append(error.call_count)
        self.assertEqual(self.logged, [1, 0, 0, 1, 1])

    # Guards against a changed address for peers that is not told of.
    def test_changed_addresses_and_places_need_a_restart(self):
        for sound, changed in (
            ("7200", "7000"),
            ("8740", "7000"),
            ("8749", "7000"),
            ("8742", "7000"),
            ('a-1 = "a"', 'a-1 = "b"'),
            ("[bounds]", "[bounds]\nevac_ms = 5000"),
        ):
            with (
                self.subTest(changed=changed),
                mock.patch.object(settings_reloader.logger, "info") as info,
            ):
                self.path.write_text(boot_files.SOUND.replace(sound, changed))
                self.reloader.reload()
                self.assertTrue(info.call_args.kwargs["needs_restart"])
