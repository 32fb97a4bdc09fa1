"""Tests of bronzeslipctl from its arguments to its exit status."""

import hashlib
import unittest

import httpx

from standins.platform import faults
from tests.cli import command_case
from tests.support import gateway_app


class DiffTest(command_case.CommandTestCase):
    def test_shows_changes_and_patch(self):
        folder = self.write_declarations()
        self.assertEqual(self.run_command("diff", folder), 0)
        self.assertIn("against number 0", self.output)
        self.assertIn("+ services.drafts", self.output)
        self.assertIn("merge patch: {", self.output)

    def test_reports_differences_by_exit_status(self):
        folder = self.write_declarations()
        self.assertEqual(self.run_command("diff", folder, "--exit-code"), 7)
        self.run_command("apply", folder)
        self.assertEqual(self.run_command("diff", folder, "--exit-code"), 0)
        self.assertIn("no changes", self.output)

    def test_json_holds_the_merge_patch(self):
        self.run_command("apply", self.write_declarations())
        self.write("drafts.yaml", command_case.DRAFTS.replace("*", "smiths"))
        [result] = self.run_json("diff", str(self.folder))
        self.assertEqual(
            result["patch"],
            {"bindings": {"drafts": {"workspaces": ["smiths"]}}},
        )


class ApplyTest(command_case.CommandTestCase):
    def test_submits_and_then_has_nothing_to_do(self):
        folder = self.write_declarations()
        self.assertEqual(self.run_command("apply", folder), 0)
        self.assertIn("applied as number 1", self.output)
        self.assertEqual(self.run_command("apply", folder), 0)
        self.assertIn("no changes", self.output)
        self.assertEqual(self.parts.configuration.number, 1)

    def test_removes_what_is_no_longer_declared(self):
        folder = self.write_declarations()
        self.run_command("apply", folder)
        (self.folder / "people" / "smiths.toml").unlink()
        self.run_command("diff", folder, "--keep-undeclared")
        self.assertIn("no changes", self.output)
        self.run_command("apply", folder)
        self.assertIn("- workspaces.smiths", self.output)
        [result] = self.run_json("get", "workspaces")
        self.assertEqual(result["value"], {})

    def test_dry_run_changes_nothing(self):
        self.assertEqual(
            self.run_command("apply", "--dry-run", self.write_declarations()), 0
        )
        self.assertIn("not applied", self.output)
        [result] = self.run_json("get")
        self.assertEqual(result["number"], 0)

    def test_refuses_stale_base_with_the_current_number(self):
        folder = self.write_declarations()
        self.run_command("apply", folder)
        self.write("drafts.yaml", command_case.DRAFTS.replace("*", "smiths"))
        status = self.run_command("apply", "--base-number", "0", folder)
        self.assertEqual(status, 3)
        self.assertIn("current configuration number is 1", self.errors)

    def test_reports_a_race_lost_between_read_and_submit(self):
        folder = self.write_declarations()
        racing = RacingTransport(self.transport, self)
        self.transport = racing
        self.assertEqual(self.run_command("apply", folder), 3)
        self.assertIn("current configuration number is 1", self.errors)

    def test_invalid_result_changes_nothing(self):
        self.write(
            "bad.yaml", command_case.DRAFTS.replace("drafting}", "none}")
        )
        self.assertEqual(self.run_command("apply", str(self.folder)), 4)
        self.assertIn(
            "bad.yaml: bindings.drafts.pool: pool 'none' is not declared",
            self.errors,
        )
        self.assertEqual(self.parts.configuration.number, -1)

    def test_resolves_a_lost_answer_by_the_same_patch_id(self):
        folder = self.write_declarations()
        self.transport = AnswerDroppingTransport(self.transport, 1)
        self.assertEqual(self.run_command("apply", folder), 0)
        self.assertIn("applied as number 1", self.output)
        [result] = self.run_json("history")
        self.assertEqual(len(result["patches"]), 1)

    def test_reports_an_outcome_that_stays_unknown(self):
        folder = self.write_declarations()
        self.transport = AnswerDroppingTransport(self.transport, 100)
        self.assertEqual(self.run_command("apply", folder), 5)
        self.assertIn("it may have been accepted", self.errors)

    def test_waits_until_in_force_everywhere(self):
        folder = self.write_declarations()
        self.transport = StatusTransport(self.transport, (0, 1))
        self.assertEqual(self.run_command("apply", "--wait", folder), 0)
        self.assertIn("1 of 2 processes have number 1", self.errors)
        self.assertIn("in force everywhere", self.errors)

    def test_gives_up_waiting(self):
        folder = self.write_declarations()
        self.transport = StatusTransport(self.transport, (0,))
        status = self.run_command(
            "apply", "--wait", "--wait-timeout-s", "0.2", folder
        )
        self.assertEqual(status, 6)


class ReadingTest(command_case.CommandTestCase):
    def test_get_narrows_to_an_entry(self):
        self.run_command("apply", self.write_declarations())
        [result] = self.run_json("get", "services", "drafts")
        self.assertEqual(result["value"]["model"], "tin-drafter")
        self.assertEqual(self.run_command("get", "services", "x"), 1)

    def test_history_names_operators(self):
        self.run_command("apply", self.write_declarations())
        self.assertEqual(self.run_command("history"), 0)
        self.assertIn("tester", self.output)

    def test_watch_shows_patches(self):
        self.run_command("apply", self.write_declarations())
        self.write("drafts.yaml", command_case.DRAFTS.replace("*", "smiths"))
        self.transport = RacingTransport(
            self.transport, self, path="/v1/configuration", after=1
        )
        self.assertEqual(self.run_command("watch", "--until", "2"), 0)
        self.assertIn("2  ", self.output)

    def test_status_of_a_gateway(self):
        self.run_command("apply", self.write_declarations())
        self.assertEqual(self.run_command("status"), 0)
        self.assertIn("number 1, in force everywhere", self.output)
        self.assertIn("brum-1: 1 at 1", self.output)

    def test_status_shows_lagging_processes(self):
        self.transport = StatusTransport(self.transport, (0,))
        self.assertEqual(self.run_command("status"), 0)
        self.assertIn("brum-1", self.output)
        self.assertIn("entry-1", self.output)


class AccessTest(command_case.CommandTestCase):
    def test_wrong_credential(self):
        self.environment["BRONZESLIP_CREDENTIAL"] = "wrong-key"
        self.assertEqual(self.run_command("get"), 1)
        self.assertIn("no operator's", self.errors)
        self.assertNotIn("wrong-key", self.errors + self.output)

    def test_credential_from_file(self):
        key = self.environment.pop("BRONZESLIP_CREDENTIAL")
        path = self.write("key", key + "\n")
        self.assertEqual(self.run_command("get", "--credential-file", path), 0)

    def test_missing_credential(self):
        del self.environment["BRONZESLIP_CREDENTIAL"]
        self.assertEqual(self.run_command("get"), 2)

    def test_no_flag_takes_the_credential(self):
        self.assertEqual(self.run_command("get", "--credential", "x"), 2)

    def test_tries_the_gateways_in_turn(self):
        self.environment["BRONZESLIP_GATEWAY_URLS"] = (
            f"http://dead,{gateway_app.URL}"
        )
        self.transport = UnreachableHostTransport(self.transport)
        self.assertEqual(self.run_command("get"), 0)

    def test_unreachable(self):
        self.environment["BRONZESLIP_GATEWAY_URLS"] = "http://dead"
        self.transport = UnreachableHostTransport(self.transport)
        self.assertEqual(self.run_command("get"), 5)

    def test_platform_outage(self):
        self.standin.faults = faults.Faults(faults.FaultMode.OUTAGE)
        self.assertEqual(self.run_command("get"), 5)


class UsageTest(command_case.CommandTestCase):
    def test_usage_errors_are_one_line(self):
        for argv in ((), ("nothing",), ("get", "--no-such"), ("diff",)):
            with self.subTest(argv=argv):
                self.assertEqual(self.run_command(*argv), 2)
                self.assertEqual(len(self.errors.splitlines()), 1)

    def test_json_errors_have_a_code(self):
        [result] = self.run_json("get", "nothing")
        self.assertEqual(result["code"], "command-failed")

    def test_hash_credential(self):
        self.assertEqual(
            self.run_command("hash-credential", stdin="secret\n"), 0
        )
        self.assertEqual(
            self.output.strip(), hashlib.sha256(b"secret").hexdigest()
        )
        self.assertEqual(self.run_command("hash-credential", stdin="\n"), 2)


class AnswerDroppingTransport(httpx.AsyncBaseTransport):
    """Drops the responses to the first patches after they took effect."""

    def __init__(self, inner, count):
        self.inner = inner
        self.count = count

    async def handle_async_request(self, request):
        answer = await self.inner.handle_async_request(request)
        if request.method == "POST" and self.count:
            self.count -= 1
            raise httpx.ReadTimeout("lost")
        return answer


class RacingTransport(httpx.AsyncBaseTransport):
    """Applies another operator's patch immediately before a request."""

    def __init__(self, inner, case, path="/v1/configuration/patches", after=0):
        self.inner = inner
        self.case = case
        self.path = path
        self.after = after
        self.raced = False

    async def handle_async_request(self, request):
        if request.url.path == self.path:
            if not self.after and not self.raced:
                self.raced = True
                await self._race()
            self.after = max(0, self.after - 1)
        return await self.inner.handle_async_request(request)

    async def _race(self):
        store = self.case.parts.configuration_store
        current = await store.read()
        await store.apply(
            command_case.patch_request(
                current.number,
                {"workspaces": {"clerks": {"credentials_sha256": ["bb"]}}},
            )
        )


class UnreachableHostTransport(httpx.AsyncBaseTransport):
    """Refuses connections to one host."""

    def __init__(self, inner):
        self.inner = inner

    async def handle_async_request(self, request):
        if request.url.host == "dead":
            raise httpx.ConnectError("refused")
        return await self.inner.handle_async_request(request)


class StatusTransport(httpx.AsyncBaseTransport):
    """Responds to the status route; one process lags at first."""

    def __init__(self, inner, lagging_numbers):
        self.inner = inner
        self.lagging_numbers = list(lagging_numbers)

    async def handle_async_request(self, request):
        if request.url.path != "/v1/configuration/status":
            return await self.inner.handle_async_request(request)
        number = self.lagging_numbers[0]
        if len(self.lagging_numbers) > 1:
            self.lagging_numbers.pop(0)
        return httpx.Response(200, json=command_case.status_document(number))


if __name__ == "__main__":
    unittest.main()
