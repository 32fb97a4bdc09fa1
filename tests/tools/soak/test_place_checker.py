"""Tests of tools.soak.place_checker."""

import unittest

from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import place_checker
from tools.soak import place_demand
from tools.soak import request_kind
from tools.soak import request_result


class PlaceCheckerTest(unittest.TestCase):
    def _check(self, arrivals_s, demands=(), disturbances=(), region=""):
        sent = {
            f"q{number}": request_result.RequestResult(
                f"q{number}",
                request_kind.RequestKind.CALL,
                200,
                b"",
                True,
                gateway="front-0",
                allowed_region=region,
            )
            for number in range(len(arrivals_s))
        }
        record = endpoint_record.parse(
            "desk-1",
            "desk",
            [
                f"arrived q{number} {time_s}"
                for number, time_s in enumerate(arrivals_s)
            ],
            "b-1",
        )
        return [
            found.invariant
            for found in place_checker.check(
                record, sent, disturbances, demands
            )
        ]

    def test_request_in_another_region(self):
        self.assertEqual(self._check([1.0], region="b"), [])
        self.assertEqual(
            self._check([1.0], region="a"),
            [invariant.Invariant.REGIONS_ARE_KEPT],
        )

    def test_request_for_an_evacuated_zone_after_the_bound(self):
        evacuation = place_demand.PlaceDemand(
            place_demand.DemandKind.EVACUATION, "b-1", 10.0, 17.0
        )
        self.assertEqual(self._check([14.9, 17.1], [evacuation]), [])
        self.assertEqual(
            self._check([15.1], [evacuation]),
            [invariant.Invariant.EVACUATIONS_ARE_KEPT],
        )

    def test_evacuation_of_another_zone(self):
        evacuation = place_demand.PlaceDemand(
            place_demand.DemandKind.EVACUATION, "a-1", 10.0, 17.0
        )
        self.assertEqual(self._check([15.1], [evacuation]), [])

    def test_disturbances_excuse_only_when_they_overlap(self):
        evacuation = place_demand.PlaceDemand(
            place_demand.DemandKind.EVACUATION, "b-1", 10.0, 17.0
        )
        for name, ended_s, expected in (
            ("front-0", 11.0, 0),
            ("front-1", 11.0, 1),
            (disturbance.STORE, 5.0, 0),
            (disturbance.STORE, 3.9, 1),
        ):
            with self.subTest(name=name, ended_s=ended_s):
                excuse = disturbance.Disturbance(name, 1.0, ended_s)
                found = self._check([15.1], [evacuation], [excuse])
                self.assertEqual(len(found), expected)

    def test_more_requests_in_a_second_than_a_cold_endpoint_sustains(self):
        cold = place_demand.PlaceDemand(
            place_demand.DemandKind.COLD, "desk-1", 10.0, 14.0
        )
        # One and a half times 4 per second, and 5.
        allowed_s = [12.5 + 0.05 * number for number in range(11)]
        self.assertEqual(self._check(allowed_s, [cold]), [])
        self.assertEqual(
            self._check([*allowed_s, 13.2], [cold]),
            [invariant.Invariant.COLD_LIMITS_ARE_KEPT],
        )
        self.assertEqual(self._check([*allowed_s, 13.6], [cold]), [])


if __name__ == "__main__":
    unittest.main()
