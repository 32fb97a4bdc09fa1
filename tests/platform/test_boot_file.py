"""Tests of bronzeslip.platform.boot_file."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.platform import boot_file
from bronzeslip.platform import boot_file_reader
from bronzeslip.platform import errors
from bronzeslip.platform import place_bounds
from tests.platform import boot_files


class BootFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"

    def read(self, content):
        self.path.write_bytes(content)
        return boot_file.read(self.path)

    def test_unknown_fields_are_ignored(self):
        sound = self.read(boot_files.SOUND.encode())
        grown = self.read(f"{boot_files.SOUND}\n[new]\na = 1\n".encode())
        self.assertEqual(grown, sound)

    # Guards against not starting without data that serving does not need.
    def test_regions_are_optional(self):
        for zones in ("", "[zones]", "[zones]\na-1 = 7", "[zones.a-1]"):
            with self.subTest(zones=zones):
                text = boot_files.SOUND.replace('[zones]\na-1 = "a"', zones)
                self.assertEqual(self.read(text.encode()).regions, {})
        self.assertEqual(
            self.read(boot_files.SOUND.encode()).regions, {"a-1": "a"}
        )

    def test_a_missing_region_is_logged_once(self):
        self.path.write_text(boot_files.SOUND.replace("[zones]", "[other]"))
        reader = boot_file_reader.BootFileReader(self.path)
        with self.assertLogs("absl") as captured:
            for _ in range(3):
                self.assertIsNotNone(reader.try_read())
        self.assertEqual(len(captured.output), 1, captured.output)
        self.assertIn("settings.no_region", captured.output[0])

    # Guards against exceptions of other types, which would end the process.
    def test_unusable_files_raise_one_error(self):
        for fault, content in boot_files.UNUSABLE.items():
            with (
                self.subTest(fault=fault),
                self.assertRaises(errors.BootFileError),
            ):
                self.read(content)

    # Guards against a process that does not start since one bound is unusable.
    def test_an_unusable_bound_is_replaced_by_the_known_one(self):
        known = vm_config.PlaceBounds(1.0, 0.5, 3.0, 7.0, 0.25)
        sound = self.read(boot_files.SOUND.encode()).bounds
        for fault, content in boot_files.UNUSABLE_BOUNDS.items():
            with self.subTest(fault=fault):
                self.path.write_bytes(content)
                name = fault.split()[0].replace("drain_ms", "drain_s")
                expected = msgspec.structs.replace(
                    sound, **{name: getattr(known, name)}
                )
                bounds = boot_file.read(self.path, known).bounds
                self.assertEqual(bounds, expected)

    def test_bounds_that_were_never_read_are_cautious(self):
        content = boot_files.SOUND.partition("[bounds]")[0]
        platform = boot_files.SOUND.partition("[platform]")[2]
        for bounds in ("", "bounds = 7\n", "[bounds]\n"):
            with self.subTest(bounds=bounds):
                this_vm = self.read(
                    f"{bounds if '=' in bounds else ''}{content}"
                    f"{bounds if '[' in bounds else ''}"
                    f"[platform]{platform}".encode()
                )
                self.assertEqual(this_vm.bounds, place_bounds.CAUTIOUS_BOUNDS)

    # Guards against evacuations that are ignored since their bound is odd.
    def test_evacuations_are_followed_only_if_their_bound_is_stated(self):
        for stated, expected_s in (
            ("", None),
            ("evac_ms = 5000", 5.0),
            ("evac_ms = -1", 1.0),
            ('evac_ms = "5"', 1.0),
        ):
            with self.subTest(stated=stated):
                content = boot_files.SOUND.replace(
                    "[bounds]", f"[bounds]\n{stated}"
                )
                bounds = self.read(content.encode()).bounds
                self.assertEqual(bounds.evac_s, expected_s)

    def test_bounds_of_cold_endpoints_are_optional(self):
        for stated, expected in (
            ("", (1.0, 0.0)),
            ("cold_over = 1.5\ncold_slack = 5", (1.5, 5.0)),
            ("cold_over = -1\ncold_slack = nan", (1.0, 0.0)),
        ):
            with self.subTest(stated=stated):
                content = boot_files.SOUND.replace(
                    "[bounds]", f"[bounds]\n{stated}"
                )
                bounds = self.read(content.encode()).bounds
                self.assertEqual(
                    (bounds.cold_over, bounds.cold_slack), expected
                )

    # Guards against settings of a file that is still being written.
    def test_each_cut_file_raises_the_error(self):
        content = boot_files.SOUND.rstrip().encode()
        for length in range(len(content)):
            with (
                self.subTest(length=length),
                self.assertRaises(errors.BootFileError),
            ):
                self.read(content[:length])

    # Guards against a gateway that waits for ever for the writer of a pipe.
    def test_pipe_does_not_block(self):
        os.mkfifo(self.path)
        for has_writer in (False, True):
            if has_writer:
                writer = os.open(self.path, os.O_RDWR)
                self.addCleanup(os.close, writer)
            with (
                self.subTest(has_writer=has_writer),
                self.assertRaises(errors.BootFileError),
            ):
                boot_file.read(self.path)

    def test_unreadable_paths_raise_the_error(self):
        with self.assertRaises(errors.BootFileError):
            boot_file.read(self.path)
        with self.assertRaises(errors.BootFileError):
            boot_file.read(self.path.parent)
        with (
            mock.patch.object(
                pathlib.Path, "open", side_effect=OSError(24, "too many files")
            ),
            self.assertRaises(errors.BootFileError),
        ):
            boot_file.read(self.path)


if __name__ == "__main__":
    unittest.main()
