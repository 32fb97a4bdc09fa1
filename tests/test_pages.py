"""Pages and what they describe."""

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


def _page(name):
    return (_DOCS / name).read_text()


def _error_kinds(kind=errors.GatewayError):
    yield kind
    for derived in kind.__subclasses__():
        yield from _error_kinds(derived)


class PagesTest(unittest.TestCase):
    def test_links_lead_somewhere(self):
        for page in (*_DOCS.rglob("*.md"), _ROOT / "README.md"):
            for target in _LINK.findall(page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_every_page_is_in_the_index(self):
        index = _page("index.md")
        for page in (*_DOCS.glob("*.md"), *_DOCS.glob("reference/*.md")):
            name = page.relative_to(_DOCS).as_posix()
            if name != "index.md":
                self.assertIn(f"({name})", index)

    def test_caller_reference_has_every_code(self):
        page = _page("reference/callers.md")
        bases = {errors.NotFoundError, errors.ConflictError}
        for kind in _error_kinds():
            if kind in bases:
                continue
            with self.subTest(code=kind.code):
                rows = [
                    line
                    for line in page.splitlines()
                    if line.startswith("|") and f"`{kind.code}`" in line
                ]
                self.assertEqual(len(rows), 1)
                self.assertIn(f"| {kind.status} |", rows[0])

    def test_command_page_has_every_exit_status(self):
        page = _page("reference/bronzeslipctl.md")
        for status in exit_status.ExitStatus:
            self.assertIn(f"\n| {int(status)} |", page)

    def test_metrics_page_has_every_metric(self):
        page = _page("reference/metrics.md")
        for metrics in (
            gateway_metrics.GatewayMetrics(),
            sidecar_metrics.SidecarMetrics(),
        ):
            for collector in metrics.registry.get_all():
                self.assertIn(f"`{collector.name}`", page)


if __name__ == "__main__":
    unittest.main()
