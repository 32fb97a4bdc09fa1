"""Tests of tools.soak.process_checker and of what it is given."""

import unittest

from tools import entry_gateway
from tools import local_process
from tools.soak import checker
from tools.soak import invariant
from tools.soak import process_checker
from tools.soak import process_record

_LIMIT_BYTES = entry_gateway.MEMORY_MB * 1_000_000
_STANDIN = "standins.object_store"


def _violated(**fields):
    record = process_record.ProcessRecord("front-0", **fields)
    return [
        violation.invariant for violation in process_checker.check([record])
    ]


class ProcessCheckerTest(unittest.TestCase):
    def test_running_and_stopped_processes_are_no_violation(self):
        self.assertEqual(_violated(peak_bytes=_LIMIT_BYTES), [])
        self.assertEqual(_violated(exit_status=0), [])

    def test_process_that_ended_by_itself(self):
        self.assertEqual(
            _violated(ended_by_itself=True, exit_status=0),
            [invariant.Invariant.PROCESSES_KEEP_RUNNING],
        )

    def test_process_over_its_limit(self):
        self.assertEqual(
            _violated(peak_bytes=_LIMIT_BYTES + 1),
            [invariant.Invariant.MEMORY_WITHIN_LIMIT],
        )

    def test_history_is_checked(self):
        record = process_record.ProcessRecord("front-0", ended_by_itself=True)
        history = checker.History((), (), 0.0, processes=(record,))
        self.assertIn(
            invariant.Invariant.PROCESSES_KEEP_RUNNING,
            [violation.invariant for violation in checker.check(history)],
        )


class EndOfProcessTest(unittest.TestCase):
    def test_stopped_and_killed_processes_did_not_end_by_themselves(self):
        for end in ("stop", "kill"):
            with self.subTest(end=end):
                process = local_process.LocalProcess(_STANDIN)
                process.http_port()
                self.assertFalse(process.has_ended_by_itself)
                getattr(process, end)()
                self.assertFalse(process.has_ended_by_itself)
                process.stop()

    def test_process_that_is_stopped_after_its_end_ended_by_itself(self):
        process = local_process.LocalProcess(_STANDIN, "--no-such-flag")
        process.wait()
        process.stop()
        self.assertTrue(process.has_ended_by_itself)


if __name__ == "__main__":
    unittest.main()
