"""Tests of bronzeslip.placement.placement_policy."""

import unittest

from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_option
from bronzeslip.placement import placement_verdict
from tests.support import placement_load

_VERDICT = placement_verdict.PlacementVerdict


def _ask(name, **changes):
    values = {
        "service": "s",
        "shard_index": 0,
        "shard_count": 1,
        "request_id": name,
        "prompt_tokens": 2_000,
        "expected_tokens": 3_000,
        "output_tokens": 1_000,
        "is_long": True,
        "priority": 0,
        "workspace": name,
        "remaining_s": 60.0,
        "objective_left_s": 1.5,
    }
    return placement_ask.PlacementAsk(**{**values, **changes})


def _option(name="e", cost_s=0.1, wait_s=0.3, free=20_000, queued_s=0.0):
    return placement_option.PlacementOption(
        name, cost_s, wait_s, free, queued_s
    )


class PlacementPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = placement_load.create_policy()

    def _decide(self, ask, *options, now_s=0.0):
        decision = self.policy.decide(ask, options or [_option()], now_s)
        self.verdict = decision.verdict
        return decision

    def test_lowest_cost_that_starts_in_time_is_selected(self):
        """Guards against a cheap endpoint that misses the objective."""
        decision = self._decide(
            _ask("a"),
            _option("late", 0.0, wait_s=1.6),
            _option("dear", 0.9),
            _option("cheap", 0.5),
        )
        self.assertEqual(decision.endpoint_id, "cheap")

    def test_endpoints_of_equal_cost_take_turns(self):
        """Guards against one endpoint that gets all of an idle service."""
        options = [_option("a", 0.1), _option("b", 0.104)]
        selected = {
            self._decide(
                _ask(f"{number}", workspace=None), *options
            ).endpoint_id
            for number in range(50)
        }
        self.assertEqual(selected, {"a", "b"})

    def test_endpoint_without_enough_memory_is_not_selected(self):
        """Guards against preemption and crashes of engines."""
        full, free = _option("full", 0.0, free=2_999), _option("free", 9.0)
        self.assertEqual(
            self._decide(_ask("a"), full, free).endpoint_id, "free"
        )
        self._decide(_ask("a"), full)
        self.assertIs(self.verdict, _VERDICT.DEFERRED)

    def test_late_request_takes_only_endpoints_without_a_queue(self):
        """Guards against late requests that delay others."""
        late = _ask("a", objective_left_s=-0.1, waited_s=1.6)
        decision = self._decide(
            late,
            _option("busy", 0.0, queued_s=0.11),
            _option("idle", 0.5, queued_s=0.09),
        )
        self.assertEqual(decision.endpoint_id, "idle")
        self._decide(late, _option(queued_s=0.11))
        self.assertIs(self.verdict, _VERDICT.DEFERRED)

    def test_late_request_is_held_for_half_of_its_clients_patience(self):
        """Guards against late requests that wait until their client leaves."""
        queue = _option(queued_s=1.0, wait_s=1.3)
        for waited_s, verdict in ((2.9, "deferred"), (3.0, "placed")):
            ask = _ask("a", waited_s=waited_s, objective_left_s=1.5 - waited_s)
            self._decide(ask, queue)
            self.assertEqual(self.verdict.value, verdict)

    def test_resumed_request_is_not_held_back(self):
        """Guards against streams that pause for a second to be resumed.

        Their objective is long missed, but their client already reads them.
        """
        resumed = _ask("a", objective_left_s=-20.0, was_sent=True)
        self._decide(resumed, _option(queued_s=1.0, wait_s=1.3))
        self.assertIs(self.verdict, _VERDICT.PLACED)
        self._decide(resumed, _option(queued_s=2.5, wait_s=2.8))
        self.assertIs(self.verdict, _VERDICT.PLACED)
        self._decide(resumed, _option(free=0))
        self.assertIs(self.verdict, _VERDICT.DEFERRED)

    def test_deferral_is_shorter_than_a_quarter_of_a_second(self):
        """Guards against deferrals that gateways do not accept."""
        for number in range(200):
            decision = self._decide(_ask(f"{number}"), _option(free=0))
            self.assertLessEqual(decision.retry_after_s, 0.25)
            self.assertGreater(decision.retry_after_s, 0.0)

    def test_request_that_cannot_start_in_time_is_refused(self):
        """Guards against requests that are held until they expire."""
        slow = _option(wait_s=5.9, queued_s=5.5)
        self._decide(_ask("a", remaining_s=5.8), slow)
        self.assertIs(self.verdict, _VERDICT.REFUSED)
        gives_up_in_5_s = _ask("b", waited_s=1.0, objective_left_s=0.5)
        self._decide(gives_up_in_5_s, slow)
        self.assertIs(self.verdict, _VERDICT.REFUSED)
        self._decide(_ask("c"), slow)
        self.assertIs(self.verdict, _VERDICT.DEFERRED)

    def _next_of(self, first, second):
        """Lets both wait; returns who gets the memory that becomes free."""
        for ask in (first, second):
            self._decide(ask, _option(free=0))
        placed = []
        for ask in (first, second):
            self._decide(ask, _option(free=3_000), now_s=0.04)
            if self.verdict is _VERDICT.PLACED:
                placed.append(ask.request_id)
        return placed

    def test_urgent_request_is_first(self):
        """Guards against places for those who happen to ask first."""
        self.assertEqual(self._next_of(_ask("a", priority=1), _ask("b")), ["b"])

    def test_request_that_can_be_in_time_is_before_a_late_one(self):
        """Guards against objectives missed for requests already late."""
        late = _ask("a", objective_left_s=-2.0, waited_s=3.5)
        self.assertEqual(self._next_of(late, _ask("b")), ["b"])

    def test_workspace_that_asked_for_less_is_first(self):
        """Guards against shares by the number of requests."""
        for number in range(5):
            self._decide(_ask(f"{number}", workspace="large"))
        large = _ask("a", workspace="large")
        self.assertEqual(
            self._next_of(large, _ask("b", workspace="small")), ["b"]
        )

    def test_overdue_request_of_a_low_priority_is_placed_at_times(self):
        """Guards against classes that starve beside more urgent ones."""
        overdue = _ask("a", priority=3, objective_left_s=-2.0, waited_s=3.5)
        placed = []
        for number in range(10):
            urgent = _ask(f"{number}")
            self._decide(urgent, _option(free=0))
            for ask in (overdue, urgent):
                self._decide(ask, _option(free=3_000))
                if self.verdict is _VERDICT.PLACED:
                    placed.append(ask.priority)
                    break
            if placed[-1] == 3:
                break
        self.assertEqual(placed, [0] * 7 + [3])

    def test_request_that_does_not_ask_again_holds_no_capacity(self):
        """Guards against capacity kept for requests of a dead gateway."""
        expires_s = 2 * self._decide(_ask("a"), _option(free=0)).retry_after_s
        for now_s, verdict in (
            (expires_s - 0.01, _VERDICT.DEFERRED),
            (expires_s, _VERDICT.PLACED),
        ):
            self._decide(
                _ask("b", priority=1), _option(free=3_000), now_s=now_s
            )
            self.assertIs(self.verdict, verdict)

    def test_large_request_makes_an_endpoint_drain(self):
        """Guards against memory that only small requests ever get."""
        self._decide(_ask("a"), _option(free=20_000))
        self._decide(_ask("b", expected_tokens=19_000), _option(free=9_000))
        self._decide(_ask("c", priority=1), _option(free=9_000))
        self.assertIs(self.verdict, _VERDICT.DEFERRED)

    def test_endpoint_does_not_drain_for_what_it_could_never_take(self):
        """Guards against clients that stop a service by a stated size."""
        self._decide(_ask("a"), _option(free=20_000))
        self._decide(_ask("b", expected_tokens=10**9), _option(free=9_000))
        self._decide(_ask("c", priority=1), _option(free=9_000))
        self.assertIs(self.verdict, _VERDICT.PLACED)

    def test_forgotten_request_holds_no_capacity(self):
        """Guards against capacity kept for a client that disconnected."""
        self._decide(_ask("a"), _option(free=0))
        self.policy.forget("a")
        self._decide(_ask("b", priority=1), _option(free=3_000))
        self.assertIs(self.verdict, _VERDICT.PLACED)

    def test_shards_do_not_wait_for_each_other(self):
        """Guards against one queue for endpoints of different services."""
        self._decide(_ask("a"), _option(free=0))
        self._decide(_ask("b", priority=1, service="t"), _option(free=3_000))
        self.assertIs(self.verdict, _VERDICT.PLACED)

    def test_gateway_decides_if_there_is_no_candidate(self):
        """Guards against a crash of the coordinator."""
        decision = self.policy.decide(_ask("a"), [], 0.0)
        self.assertIs(decision.verdict, _VERDICT.NOT_RESPONSIBLE)


if __name__ == "__main__":
    unittest.main()
