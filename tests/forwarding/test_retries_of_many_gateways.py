"""Tests of the retry budget of all gateways together.

Every request fails and is retried as often as its gateway allows, while the
gateways start, restart or have lost contact with the store.
"""

import random
import unittest

from bronzeslip import ids
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import service_retry_budgets
from tests.support import lagging_store

_RATIO = 0.2
_WINDOW_S = 10.0
_STEP_S = 0.05
_SERVICE = ids.ServiceName("desk")
_RETRIES_PER_REQUEST = 3


class _Gateway(lagging_store.RegisteredGateway):
    """One gateway process: its registration, listings and retry budget."""

    def __init__(self, store, vm_id, bounds, clock, rng):
        super().__init__(store, vm_id, clock)
        self._budgets = service_retry_budgets.ServiceRetryBudgets(
            bounds, self.registry, rng, clock
        )

    def serve_failing_request(self):
        """Returns the number of retries that the gateway sends."""
        budget = self._budgets.count_request(_SERVICE)
        return sum(budget.take() for _ in range(_RETRIES_PER_REQUEST))


class RetriesOfManyGatewaysTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 0.0
        self.rng = random.Random(7)
        self.requests = []
        self.retries = []
        self.gateways = {}

    def _clock(self):
        return self.now_s

    def _deploy(self, count, slack, requests_per_s, lag_s=2.0):
        self.slack = slack
        self.bounds = vm_config.PlaceBounds(8.0, _RATIO, slack, _WINDOW_S, 2.5)
        self.store = lagging_store.LaggingStore(self._clock, lag_s)
        self.requests_per_s = requests_per_s
        self.names = [f"front-{number}" for number in range(count)]

    def _start(self, name):
        self.gateways[name] = _Gateway(
            self.store, name, self.bounds, self._clock, self.rng
        )

    async def _play(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += _STEP_S
            for gateway in tuple(self.gateways.values()):
                await gateway.keep_registered()
            arrivals = self.requests_per_s * _STEP_S
            count = int(arrivals) + (self.rng.random() < arrivals % 1)
            for _ in range(count if self.gateways else 0):
                gateway = self.rng.choice(tuple(self.gateways.values()))
                self.requests.append(self.now_s)
                sent = gateway.serve_failing_request()
                self.retries.extend([self.now_s] * sent)

    def _assert_within_budget(self):
        """Checks every window; requests count where a window has most."""
        for start_s in sorted(set(self.retries)):
            retries = _count(self.retries, start_s, _WINDOW_S)
            requests = max(
                _count(self.requests, start_s - offset_s, _WINDOW_S)
                for offset_s in (0.0, _WINDOW_S / 2, _WINDOW_S)
            )
            self.assertLessEqual(
                retries, _RATIO * requests + self.slack, f"at {start_s:.2f} s"
            )

    async def test_gateways_that_start_one_after_the_other(self):
        self._deploy(5, slack=56, requests_per_s=20)
        for name in self.names:
            self._start(name)
            await self._play(4.0)
        await self._play(40.0)
        self._assert_within_budget()

    async def test_listings_older_than_the_startup_delay(self):
        self._deploy(5, slack=56, requests_per_s=20, lag_s=3.9)
        for name in self.names:
            self._start(name)
            await self._play(0.1)
        await self._play(40.0)
        self._assert_within_budget()

    async def test_restarts_in_series(self):
        self._deploy(5, slack=56, requests_per_s=20)
        for name in self.names:
            self._start(name)
        await self._play(30.0)
        for _ in range(3):
            for name in self.names:
                self._start(name)
                await self._play(1.5)
        await self._play(20.0)
        self._assert_within_budget()

    async def test_gateways_without_contact_to_the_store(self):
        self._deploy(5, slack=56, requests_per_s=20)
        for name in self.names[:2]:
            self._start(name)
        await self._play(30.0)
        self.store.unreachable_from.update(self.names[:2])
        for name in self.names[2:]:
            self._start(name)
        await self._play(40.0)
        self.store.unreachable_from.clear()
        await self._play(20.0)
        self._assert_within_budget()

    async def test_store_restored_from_a_copy_without_the_records(self):
        self._deploy(5, slack=56, requests_per_s=20)
        for name in self.names:
            self._start(name)
        await self._play(30.0)
        self.store.restore_from(-1.0)
        await self._play(40.0)
        self._assert_within_budget()
        self.assertEqual(len(self.store.values), len(self.names))

    async def test_gateway_that_stops_leaves_its_retries_in_the_window(self):
        self._deploy(3, slack=56, requests_per_s=20)
        for name in self.names:
            self._start(name)
        await self._play(30.0)
        for name in self.names[1:]:
            del self.gateways[name]
            self.store.remove(_key(name))
        await self._play(20.0)
        self._assert_within_budget()

    async def test_more_gateways_than_slack(self):
        self._deploy(380, slack=100, requests_per_s=400, lag_s=1.0)
        for name in self.names:
            self._start(name)
        await self._play(25.0)
        self._assert_within_budget()

    async def test_slack_is_used_in_calm(self):
        self._deploy(5, slack=56, requests_per_s=0)
        for name in self.names:
            self._start(name)
        await self._play(30.0)
        sent = sum(
            gateway.serve_failing_request()
            for gateway in self.gateways.values()
            for _ in range(10)
        )
        self.assertGreaterEqual(sent, 0.35 * self.slack)

    async def test_gateway_that_was_suspended_has_no_share_before_it_counts(
        self,
    ):
        self._deploy(2, slack=56, requests_per_s=0)
        for name in self.names:
            self._start(name)
        await self._play(30.0)
        registry = self.gateways[self.names[0]].registry
        self.assertEqual(registry.share_of(10.0), 5.0)
        self.now_s += 20.0
        self.assertEqual(registry.share_of(10.0), 0.0)
        await self._play(0.1)
        self.assertEqual(registry.share_of(10.0), 5.0)


def _count(times_s, start_s, length_s):
    return sum(start_s <= time_s < start_s + length_s for time_s in times_s)


def _key(name):
    return ids.ObjectKey(f"{gateway_registry.PREFIX}{name}")


if __name__ == "__main__":
    unittest.main()
