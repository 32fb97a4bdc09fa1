"""Tests of reading declarations from files."""

import pathlib

from bronzeslip.cli import declarations
from bronzeslip.cli import errors
from tests.cli import command_case

_INVALID_FILES = (
    ("a.yaml", "services: [", "a.yaml: line 1, column 12"),
    ("a.toml", "x = = 1", "a.toml: Invalid value"),
    ("a.json", "{}", "a.json: the file name must end in"),
    ("a.yaml", "- 1", "a.yaml: the top level must be a mapping"),
    ("a.yaml", "", "no declarations"),
    ("a.yaml", "service: {}", "a.yaml: service: unknown kind"),
    ("a.yaml", "services: 1", "a.yaml: services: must be a mapping"),
    (
        "a.yaml",
        "pools: {1: {}}",
        "a.yaml: line 1, column 9: key 1 is not a string",
    ),
    (
        "a.yaml",
        "pools: {p: {kind: plain}, p: {kind: plain}}",
        "a.yaml: line 1, column 27: duplicate key 'p'",
    ),
    ("a.yaml", "pools: {p: {kind: odd}}", "a.yaml: pools.p.kind: Invalid enum"),
    ("a.yaml", "pools: {p: {}}", "a.yaml: pools.p: Object missing"),
    (
        "a.yaml",
        "pools: {p: {kind: plain, size: 1}}",
        "a.yaml: pools.p: Object contains unknown field `size`",
    ),
    (
        "a.yaml",
        "services: {s: {kind: plain, deadline_s: soon}}",
        "a.yaml: services.s.deadline_s: Expected `float`",
    ),
    (
        "a.yaml",
        "services: {s: {kind: plain, deadline_s: -1}}",
        "a.yaml: services.s.deadline_s: must be greater than zero",
    ),
    (
        "a.yaml",
        "workspaces: {w: {credentials_sha256: [], "
        "limits: {requests_in_flight: -2}}}",
        "a.yaml: workspaces.w.limits.requests_in_flight",
    ),
)


class DeclarationsTest(command_case.CommandTestCase):
    def test_reads_yaml_and_toml_of_a_folder(self):
        read = declarations.read([pathlib.Path(self.write_declarations())])
        self.assertEqual(list(read.services), ["drafts"])
        self.assertEqual(list(read.workspaces), ["smiths"])

    def test_names_file_field_and_reason(self):
        for name, text, expected in _INVALID_FILES:
            with self.subTest(text=text):
                path = pathlib.Path(self.write(name, text))
                with self.assertRaises(
                    errors.InvalidDeclarationError
                ) as caught:
                    declarations.read([path])
                self.assertIn(expected, caught.exception.message)
                self.assertNotIn("\n", caught.exception.message)

    def test_names_both_files_of_a_duplicate_declaration(self):
        folder = self.write_declarations()
        self.write("again.yaml", command_case.DRAFTS)
        with self.assertRaisesRegex(
            errors.InvalidDeclarationError,
            r"drafts\.yaml: services\.drafts: .*again\.yaml",
        ):
            declarations.read([pathlib.Path(folder)])

    def test_missing_file(self):
        with self.assertRaisesRegex(
            errors.InvalidDeclarationError, "gone.yaml: No such file"
        ):
            declarations.read([self.folder / "gone.yaml"])

    def test_file_is_not_utf8(self):
        path = self.folder / "a.yaml"
        path.write_bytes(b"\xff\xfe\x00")
        with self.assertRaises(errors.InvalidDeclarationError):
            declarations.read([path])
