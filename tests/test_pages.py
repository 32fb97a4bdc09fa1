"""Tests that the documentation matches the code."""

import pathlib
import re
import unittest

from bronzeslip.cli import exit_status
from bronzeslip.gateway import errors
from bronzeslip.metrics import gateway_metrics
from bronzeslip.metrics import sidecar_metrics

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DOCS = _ROOT / "docs"
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def _read_page(name):
    return (_DOCS / name).read_text()


def _error_classes(error_class=errors.GatewayError):
    yield error_class
    for subclass in error_class.__subclasses__():
        yield from _error_classes(subclass)


class PagesTest(unittest.TestCase):
    def test_link_targets_exist(self):
        for page in (*_DOCS.rglob("*.md"), _ROOT / "README.md"):
            for target in _LINK.findall(page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_every_page_is_in_the_index(self):
        index = _read_page("index.md")
        for page in (*_DOCS.glob("*.md"), *_DOCS.glob("reference/*.md")):
            name = page.relative_to(_DOCS).as_posix()
            if name != "index.md":
                self.assertIn(f"({name})", index)

    def test_caller_reference_has_every_code(self):
        page = _read_page("reference/callers.md")
        base_classes = {errors.NotFoundError, errors.ConflictError}
        for error_class in _error_classes():
            if error_class in base_classes:
                continue
            with self.subTest(code=error_class.code):
                rows = [
                    line
                    for line in page.splitlines()
                    if line.startswith("|") and f"`{error_class.code}`" in line
                ]
                self.assertEqual(len(rows), 1)
                self.assertIn(f"| {error_class.status} |", rows[0])

    def test_command_page_has_every_exit_status(self):
        page = _read_page("reference/bronzeslipctl.md")
        for status in exit_status.ExitStatus:
            self.assertIn(f"\n| {int(status)} |", page)

    def test_metrics_page_has_every_metric(self):
        page = _read_page("reference/metrics.md")
        for metrics in (
            gateway_metrics.GatewayMetrics(),
            sidecar_metrics.SidecarMetrics(),
        ):
            for collector in metrics.registry.get_all():
                self.assertIn(f"`{collector.name}`", page)


if __name__ == "__main__":
    unittest.main()
