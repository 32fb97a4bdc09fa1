"""Base class of tests that run bronzeslipctl against a gateway."""

import io
import json
import pathlib
import tempfile
import unittest

from bronzeslip import ids
from bronzeslip.cli import program
from bronzeslip.configuration import store
from tests.support import gateway_app
from tests.support import in_process
from tools import declarations

DRAFTS = """\
services:
  drafts: {kind: generation, model: tin-drafter}
pools:
  drafting: {kind: generation, models: [tin-drafter]}
bindings:
  drafts: {workspaces: ["*"], service: drafts, pool: drafting}
"""
SMITHS = """\
[workspaces.smiths]
credentials_sha256 = ["aa"]
workspace_class = "draft"
"""


class CommandTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.standin, platform = in_process.create_platform_and_client()
        self.parts = gateway_app.create_state(platform)
        self.transport = gateway_app.create_transport(self.parts)
        self.environment = {
            "BRONZESLIP_GATEWAY_URLS": gateway_app.URL,
            "BRONZESLIP_CREDENTIAL": declarations.OPERATOR_CREDENTIAL,
            "BRONZESLIP_RETRY_DELAY_S": "0",
            "BRONZESLIP_ATTEMPTS": "3",
            "BRONZESLIP_POLL_INTERVAL_S": "0.05",
            "BRONZESLIP_OPERATOR": "tester",
        }

    def write(self, name, text):
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return str(path)

    def write_declarations(self):
        self.write("drafts.yaml", DRAFTS)
        self.write("people/smiths.toml", SMITHS)
        return str(self.folder)

    def run_command(self, *argv, stdin=""):
        output, errors = io.StringIO(), io.StringIO()
        run = program.Program(
            self.environment,
            io.StringIO(stdin),
            output,
            errors,
            self.transport,
        )
        self.status = run.run(argv)
        self.output, self.errors = output.getvalue(), errors.getvalue()
        for text in (self.output, self.errors):
            self.assertNotIn(declarations.OPERATOR_CREDENTIAL, text)
        return int(self.status)

    def run_json(self, *argv):
        self.run_command(*argv, "--output", "json")
        return [json.loads(line) for line in self.output.splitlines()]


def patch_request(base_number, patch):
    return store.PatchRequest(ids.random_id(), base_number, "rival", patch)


def status_document(lagging_number):
    numbers = {"1": 1}
    numbers[str(lagging_number)] = numbers.get(str(lagging_number), 0) + 1
    lagging = [] if lagging_number else ["entry-1"]
    domain = {
        "failure_domain": "brum-1",
        "numbers": numbers,
        "lagging": lagging,
    }
    everywhere = lagging_number == 1
    return {
        "number": 1,
        "in_force_everywhere": everywhere,
        "domains": [domain],
    }
