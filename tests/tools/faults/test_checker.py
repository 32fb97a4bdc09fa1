"""Tests of the checker on histories that break each promise."""

import unittest

from tools.faults import checker
from tools.faults import history
from tools.faults import promise


def tokens(indexes, run="r1", prompt="p1"):
    return tuple(history.TokenSeen(prompt, run, index) for index in indexes)


def answer(outcome=history.Outcome.COMPLETED, **fields):
    wanted = {"prompt_mark": "p1", **fields}
    return history.CallerAnswer("q1", outcome, **wanted)


class CheckerTest(unittest.TestCase):
    def assert_breaks(self, wanted, *events):
        broken = {found.promise for found in checker.check(events)}
        self.assertEqual(broken, {wanted})

    def test_good_history(self):
        events = [
            answer(expected_tokens=3, tokens=tokens(range(3))),
            answer(history.Outcome.NOT_RUN, retry_after_s=1.0),
            answer(history.Outcome.INCOMPLETE, tokens=tokens(range(2))),
            answer(idempotency_key="k1"),
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
        self.assert_breaks(
            promise.Promise.TOKENS_IN_ORDER,
            answer(expected_tokens=3, tokens=tokens([0, 1, 1])),
        )

    def test_missing_token(self):
        self.assert_breaks(
            promise.Promise.TOKENS_IN_ORDER,
            answer(history.Outcome.INCOMPLETE, tokens=tokens([0, 2])),
        )

    def test_two_generations(self):
        mixed = tokens([0, 1]) + tokens([2], run="r2")
        self.assert_breaks(
            promise.Promise.TOKENS_IN_ORDER,
            answer(expected_tokens=3, tokens=mixed),
        )

    def test_tokens_of_another_request(self):
        crossed = tokens([0, 1], prompt="p2")
        self.assert_breaks(
            promise.Promise.OWN_WHOLE_ANSWER,
            answer(expected_tokens=2, tokens=crossed),
        )

    def test_short_answer_said_to_be_whole(self):
        self.assert_breaks(
            promise.Promise.OWN_WHOLE_ANSWER,
            answer(expected_tokens=5, tokens=tokens(range(3))),
        )

    def test_completed_call_that_never_ran(self):
        self.assert_breaks(
            promise.Promise.OWN_WHOLE_ANSWER, answer(idempotency_key="k1")
        )

    def test_call_told_not_run_that_ran(self):
        self.assert_breaks(
            promise.Promise.NOT_RUN_IS_TRUE,
            answer(
                history.Outcome.NOT_RUN,
                idempotency_key="k1",
                retry_after_s=1.0,
            ),
            history.EndpointRun("e1", "k1"),
        )

    def test_refusal_after_tokens(self):
        self.assert_breaks(
            promise.Promise.NOT_RUN_IS_TRUE,
            answer(
                history.Outcome.NOT_RUN,
                tokens=tokens([0]),
                retry_after_s=1.0,
            ),
        )

    def test_call_that_ran_twice(self):
        self.assert_breaks(
            promise.Promise.AT_MOST_ONCE,
            answer(idempotency_key="k1"),
            history.EndpointRun("e1", "k1"),
            history.EndpointRun("e2", "k1"),
        )

    def test_work_on_leaving_endpoint(self):
        self.assert_breaks(
            promise.Promise.LEAVING_GETS_NO_WORK,
            history.EndpointLeaving("e1", 10.0),
            history.WorkStarted("e1", 13.5),
        )

    def test_request_cut_by_drain(self):
        self.assert_breaks(
            promise.Promise.DRAIN_CUTS_NOTHING,
            answer(history.Outcome.INCOMPLETE, in_flight_at_drain=True),
        )

    def test_number_that_goes_back(self):
        self.assert_breaks(
            promise.Promise.PATCH_IN_FORCE,
            history.NumberInForce("g1", 2),
            history.NumberInForce("g1", 1),
        )

    def test_two_patches_with_one_number(self):
        self.assert_breaks(
            promise.Promise.PATCH_IN_FORCE,
            history.PatchAccepted(1, 2, "a"),
            history.PatchAccepted(1, 2, "b"),
        )

    def test_accepted_patch_not_in_force(self):
        self.assert_breaks(
            promise.Promise.PATCH_IN_FORCE,
            history.PatchAccepted(1, 2, "a"),
            history.TrialEnd({"g1": 2, "g2": 1}),
        )

    def test_no_final_answer(self):
        self.assert_breaks(
            promise.Promise.FINAL_ANSWER, answer(history.Outcome.BROKEN_OFF)
        )

    def test_refusal_without_when_to_come_back(self):
        self.assert_breaks(
            promise.Promise.FINAL_ANSWER, answer(history.Outcome.NOT_RUN)
        )


if __name__ == "__main__":
    unittest.main()
