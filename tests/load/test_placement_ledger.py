"""Tests of the ledger against requests that are counted twice or forever."""

import unittest

from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from tests.support import clock
from tests.support import forwarding_parts


class PlacementLedgerTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.ledger = placement_ledger.PlacementLedger(self.clock)

    def _place(self, request_id, endpoint_id="one"):
        self.ledger.add(
            placement.Placement(
                request_id, endpoint_id, 1000, 1500, False, self.clock()
            )
        )

    def _placed(self, endpoint_id="one"):
        sent = self.ledger.sent_since(endpoint_id, 0.0)
        return [request.request_id for request in sent]

    def _apply_report(self, waiting=0, running=()):
        runs = tuple(report.RunReport(name, 10, 1) for name in running)
        self.ledger.apply_report(
            "one",
            report_cache.DatedReport(
                report.EngineReport(waiting, len(runs), 0, 30_000, runs=runs),
                self.clock(),
            ),
        )

    # Guards against a retry that counts at both engines.
    def test_a_request_placed_again_counts_at_its_last_engine_only(self):
        self._place("r1", "one")
        self._place("r1", "two")
        self.assertEqual([], self._placed("one"))
        self.assertEqual(["r1"], self._placed("two"))

    # Guards against a request counted by the report and by the ledger.
    def test_a_reported_run_is_not_counted_by_the_ledger(self):
        self._place("r1")
        self._place("r2")
        self._apply_report(waiting=3, running=["r1"])
        self.assertEqual(["r2"], self._placed())

    # Guards against forgetting the burst that has not reached the engine when
    # it wrote its report.
    def test_a_request_newer_than_the_report_is_kept(self):
        self._place("r1")
        self.clock.advance(0.4)
        self._apply_report()
        self.assertEqual(["r1"], self._placed())

    # Guards against short requests that run and end between two reports and
    # would count for the maximum age.
    def test_a_request_older_than_an_idle_report_has_ended(self):
        self._place("r1")
        self.clock.advance(0.8)
        self._apply_report()
        self.assertEqual([], self._placed())

    def test_a_request_older_than_a_report_with_a_queue_may_wait_there(self):
        self._place("r1")
        self.clock.advance(2.0)
        self._apply_report(waiting=1)
        self.assertEqual(["r1"], self._placed())

    def test_a_request_whose_end_is_stated_is_forgotten(self):
        self._place("r1")
        self.ledger.end("r1")
        self.ledger.end("r1")
        self.assertEqual([], self._placed())

    # Guards against a gateway that was killed before it sent the request.
    def test_a_request_that_never_arrives_is_forgotten(self):
        self._place("r1")
        self.clock.advance(5.0)
        self._place("r2")
        self.clock.advance(5.1)
        self.assertEqual(["r2"], self._placed())
        self.assertEqual(1, len(self.ledger))

    def test_requests_of_an_incarnation_that_is_gone_are_forgotten(self):
        self._place("r1", "one")
        self._place("r2", "two")
        self.ledger.remove(forwarding_parts.create_endpoint("one"))
        self.assertEqual(([], ["r2"]), (self._placed(), self._placed("two")))


if __name__ == "__main__":
    unittest.main()
