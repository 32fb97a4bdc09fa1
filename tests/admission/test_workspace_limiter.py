"""Tests of the per-workspace limits at one gateway."""

import gc
import unittest

from bronzeslip.admission import errors
from bronzeslip.admission import workspace_limiter
from bronzeslip.configuration import workspace
from bronzeslip.membership import directory
from bronzeslip.membership import member
from tests.support import clock


class WorkspaceLimiterTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.members = directory.MemberDirectory()
        self.limiter = workspace_limiter.WorkspaceLimiter(
            self.members, self.clock
        )

    def acquire(self, name="clerks", **limits):
        workspace_config = workspace.Workspace(
            (), limits=workspace.WorkspaceLimits(**limits)
        )
        return self.limiter.acquire(name, workspace_config)

    def acquire_until_limited(self, **limits):
        permits = []
        try:
            while len(permits) < 100:
                permits.append(self.acquire(**limits))
        except errors.WorkspaceLimitedError as error:
            self.retry_after_s = error.retry_after_s
        return permits

    def test_in_flight_requests_are_limited_until_released(self):
        permits = self.acquire_until_limited(requests_in_flight=3)
        self.assertEqual(len(permits), 3)
        self.acquire("smiths", requests_in_flight=1).release()
        permits[0].release()
        permits[0].release()
        self.assertEqual(
            len(self.acquire_until_limited(requests_in_flight=3)), 1
        )

    def test_gateways_share_a_limit(self):
        for vm_id in ("g1", "g2", "g3"):
            self.members.put(
                member.Member(
                    vm_id, vm_id, member.MemberRole.GATEWAY, "r", "d", vm_id
                )
            )
        self.assertEqual(
            len(self.acquire_until_limited(requests_in_flight=10)), 4
        )

    def test_rate_is_limited_and_retry_delay_is_reported(self):
        self.assertEqual(len(self.acquire_until_limited(requests_per_s=4.0)), 4)
        self.assertAlmostEqual(self.retry_after_s, 0.25)
        self.clock.advance(0.5)
        self.assertEqual(len(self.acquire_until_limited(requests_per_s=4.0)), 2)

    def test_dropped_permit_is_released(self):
        self.acquire(requests_in_flight=1)
        gc.collect()
        self.acquire(requests_in_flight=1)


if __name__ == "__main__":
    unittest.main()
