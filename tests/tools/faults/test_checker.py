"""Tests of tools.faults.checker with a violation of each invariant."""

import unittest

from tools.faults import checker
from tools.faults import history
from tools.faults import invariant


def tokens(indexes, run="r1", prompt="p1"):
    return tuple(history.ReceivedToken(prompt, run, index) for index in indexes)


def result(outcome=history.Outcome.COMPLETED, **fields):
    all_fields = {"prompt_fingerprint": "p1", **fields}
    return history.RequestResult("q1", outcome, **all_fields)


class CheckerTest(unittest.TestCase):
    def assert_violates(self, expected, *events):
        violated = {violation.invariant for violation in checker.check(events)}
        self.assertEqual(violated, {expected})

    def test_history_without_violations(self):
        events = [
            result(expected_tokens=3, tokens=tokens(range(3))),
            result(history.Outcome.NOT_RUN, retry_after_s=1.0),
            result(history.Outcome.INCOMPLETE, tokens=tokens(range(2))),
            result(idempotency_key="k1"),
            history.EndpointRun("e1", "k1"),
            history.EndpointLeaving("e1", 10.0),
            history.WorkStarted("e1", 12.0),
            history.PatchAccepted(1, 2, "a"),
            history.PatchAccepted(1, 2, "a"),
            history.NumberInForce("g1", 1),
            history.NumberInForce("g1", 2),
            history.TrialEnd({"g1": 2}),
        ]
        self.assertEqual(checker.check(events), [])

    def test_repeated_token(self):
        self.assert_violates(
            invariant.Invariant.TOKENS_IN_ORDER,
            result(expected_tokens=3, tokens=tokens([0, 1, 1])),
        )

    def test_missing_token(self):
        self.assert_violates(
            invariant.Invariant.TOKENS_IN_ORDER,
            result(history.Outcome.INCOMPLETE, tokens=tokens([0, 2])),
        )

    def test_tokens_of_two_generations(self):
        mixed_tokens = tokens([0, 1]) + tokens([2], run="r2")
        self.assert_violates(
            invariant.Invariant.TOKENS_IN_ORDER,
            result(expected_tokens=3, tokens=mixed_tokens),
        )

    def test_tokens_of_another_request(self):
        foreign_tokens = tokens([0, 1], prompt="p2")
        self.assert_violates(
            invariant.Invariant.OWN_COMPLETE_RESULT,
            result(expected_tokens=2, tokens=foreign_tokens),
        )

    def test_completed_result_with_missing_tokens(self):
        self.assert_violates(
            invariant.Invariant.OWN_COMPLETE_RESULT,
            result(expected_tokens=5, tokens=tokens(range(3))),
        )

    def test_completed_call_that_did_not_run(self):
        self.assert_violates(
            invariant.Invariant.OWN_COMPLETE_RESULT,
            result(idempotency_key="k1"),
        )

    def test_call_reported_as_not_run_that_ran(self):
        self.assert_violates(
            invariant.Invariant.NOT_RUN_IS_ACCURATE,
            result(
                history.Outcome.NOT_RUN,
                idempotency_key="k1",
                retry_after_s=1.0,
            ),
            history.EndpointRun("e1", "k1"),
        )

    def test_refusal_after_tokens(self):
        self.assert_violates(
            invariant.Invariant.NOT_RUN_IS_ACCURATE,
            result(
                history.Outcome.NOT_RUN,
                tokens=tokens([0]),
                retry_after_s=1.0,
            ),
        )

    def test_call_that_ran_twice(self):
        self.assert_violates(
            invariant.Invariant.AT_MOST_ONCE,
            result(idempotency_key="k1"),
            history.EndpointRun("e1", "k1"),
            history.EndpointRun("e2", "k1"),
        )

    def test_work_on_leaving_endpoint(self):
        self.assert_violates(
            invariant.Invariant.NO_NEW_WORK_WHEN_LEAVING,
            history.EndpointLeaving("e1", 10.0),
            history.WorkStarted("e1", 13.5),
        )

    def test_request_interrupted_by_drain(self):
        self.assert_violates(
            invariant.Invariant.DRAIN_INTERRUPTS_NOTHING,
            result(history.Outcome.INCOMPLETE, in_flight_at_drain=True),
        )

    def test_number_that_decreases(self):
        self.assert_violates(
            invariant.Invariant.PATCH_STAYS_IN_FORCE,
            history.NumberInForce("g1", 2),
            history.NumberInForce("g1", 1),
        )

    def test_two_patches_with_one_number(self):
        self.assert_violates(
            invariant.Invariant.PATCH_STAYS_IN_FORCE,
            history.PatchAccepted(1, 2, "a"),
            history.PatchAccepted(1, 2, "b"),
        )

    def test_accepted_patch_not_in_effect(self):
        self.assert_violates(
            invariant.Invariant.PATCH_STAYS_IN_FORCE,
            history.PatchAccepted(1, 2, "a"),
            history.TrialEnd({"g1": 2, "g2": 1}),
        )

    def test_no_final_result(self):
        self.assert_violates(
            invariant.Invariant.FINAL_RESULT,
            result(history.Outcome.INTERRUPTED),
        )

    def test_refusal_without_retry_delay(self):
        self.assert_violates(
            invariant.Invariant.FINAL_RESULT, result(history.Outcome.NOT_RUN)
        )


if __name__ == "__main__":
    unittest.main()
