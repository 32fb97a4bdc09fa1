"""Tests of the logging and metrics of one request."""

import asyncio
import unittest
from unittest import mock

from bronzeslip import logs
from bronzeslip.configuration import workspace
from bronzeslip.gateway import errors
from bronzeslip.gateway import request_record
from bronzeslip.metrics import outcome as outcomes
from bronzeslip.metrics import request_labels

_LABELS = request_labels.RequestLabels("drafts", workspace.WorkspaceClass.DRAFT)
_CASES = (
    (errors.NotRunError("x"), "refused", "request.refused"),
    (errors.LimitExceededError("x"), "refused", "request.refused"),
    (errors.IncompleteResponseError("x"), "incomplete", "request.incomplete"),
    (errors.OutcomeUnknownError("x"), "unknown", "request.unknown"),
    (ZeroDivisionError(), "failed", "request.failed"),
    (asyncio.CancelledError(), "cancelled", "request.cancelled"),
    (GeneratorExit(), "cancelled", "request.cancelled"),
)


class RequestRecordTest(unittest.TestCase):
    def setUp(self):
        self.metrics = mock.Mock()
        self.record = request_record.RequestRecord(
            self.metrics, "r1", "smiths", _LABELS
        )
        patched = mock.patch.object(logs.EventLogger, "_write")
        self.written = patched.start()
        self.addCleanup(patched.stop)

    def events(self):
        return [call.args[1] for call in self.written.call_args_list]

    def outcomes(self):
        return [
            call.args[1].value
            for call in self.metrics.record_answer.call_args_list
        ]

    def test_finished_request(self):
        self.record.accepted()
        self.record.dispatched("drafting-0", generation_id="g1")
        self.record.endpoint_accepted()
        with self.record.track_outcome():
            self.record.tokens_received(3)
        self.assertEqual(
            self.events(),
            ["request.accepted", "request.dispatched", "request.finished"],
        )
        fields = self.written.call_args.args[2]
        self.assertEqual(fields["request_id"], "r1")
        self.assertEqual(fields["workspace_id"], "smiths")
        self.assertEqual(fields["generation_id"], "g1")
        self.assertEqual(fields["endpoint_id"], "drafting-0")
        self.assertNotIn("call_id", fields)
        self.assertEqual(self.outcomes(), ["completed"])
        self.metrics.record_queue_wait.assert_called_once()

    def test_errors_decide_the_outcome(self):
        for error, outcome, event in _CASES:
            with self.subTest(error=type(error).__name__):
                self.setUp()
                with (
                    self.assertRaises(type(error)),
                    self.record.track_outcome(),
                ):
                    raise error
                self.assertEqual(self.outcomes(), [outcome])
                self.assertEqual(self.events(), [event])

    def test_refusal_is_counted_once_by_its_code(self):
        error = errors.NotRunError("x")
        with (
            self.assertRaises(errors.NotRunError),
            self.record.track_outcome(),
            self.record.track_failures(),
        ):
            raise error
        self.metrics.count_refusal.assert_called_once_with(_LABELS, "not-run")
        self.assertEqual(self.outcomes(), ["refused"])
        self.assertEqual(error.request_id, "r1")

    def test_second_dispatch_is_a_retry(self):
        self.record.dispatched("a", generation_id="g1")
        self.metrics.count_retry.assert_not_called()
        self.record.endpoint_rejected()
        self.metrics.record_queue_wait.assert_called_once_with(
            _LABELS, outcomes.RequestOutcome.REFUSED, mock.ANY
        )
        self.record.dispatched("b", generation_id="g2")
        self.metrics.count_retry.assert_called_once_with(_LABELS)


if __name__ == "__main__":
    unittest.main()
