"""Tests of endpoints that limit the requests of all gateways, as processes."""

import asyncio
import random
import time
import unittest

import httpx

from tools import entry_deployment
from tools.soak import caller
from tools.soak import endpoint_record
from tools.soak import limit_checker

_RATE_PER_S = 2.0
# Time after the first statement until the limit must be kept.
_CONTACT_S = 4.5
_OBSERVED_S = 9.0
_CALLERS = 6
# Part of the limit that must be used while callers ask for more.
_MIN_USED_SHARE = 0.6
_MAX_REFUSAL_S = 1.0


class LimitingEndpointTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(3, 2)
        self.addCleanup(self.deployment.stop)
        self.callers = caller.Callers(
            self.deployment.gateways, random.Random(5), time.monotonic()
        )

    def _call_for(self, duration_s):
        async def call():
            stop = asyncio.Event()
            calling = asyncio.create_task(self.callers.run(_CALLERS, stop))
            await asyncio.sleep(duration_s)
            stop.set()
            await calling

        first = len(self.callers.results)
        asyncio.run(call())
        return self.callers.results[first:]

    def _records(self):
        return [
            endpoint_record.parse(endpoint.endpoint_id, endpoint.service, lines)
            for endpoint in self.deployment.endpoints
            for lines in endpoint.incarnation_lines
        ]

    def _arrival_count(self, record, from_s):
        return sum(arrival.time_s >= from_s for arrival in record.arrivals)

    # Each gateway sent what it liked, whatever an endpoint had stated.
    def test_stated_limit_holds_for_all_gateways_together(self):
        for endpoint in self.deployment.endpoints:
            endpoint.state_limit(str(_RATE_PER_S))
        self._call_for(_CONTACT_S)
        from_s = time.monotonic()
        results = self._call_for(_OBSERVED_S)
        sent = {result.request_id: result for result in self.callers.results}
        records = self._records()
        self.assertEqual(
            [
                violation.detail
                for record in records
                for violation in limit_checker.check(record, sent, ())
            ],
            [],
        )
        self.assertGreaterEqual(
            min(self._arrival_count(record, from_s) for record in records),
            _MIN_USED_SHARE * _RATE_PER_S * _OBSERVED_S,
        )
        refused = [
            result
            for result in results
            if result.status == httpx.codes.SERVICE_UNAVAILABLE
        ]
        self.assertTrue(refused)
        for result in refused:
            self.assertLess(result.ended_s - result.sent_s, _MAX_REFUSAL_S)

    def test_requests_above_the_limit_go_to_another_endpoint(self):
        for endpoints in (
            self.deployment.call_endpoints,
            self.deployment.engines,
        ):
            endpoints[0].state_limit(str(_RATE_PER_S))
        results = self._call_for(_CONTACT_S)
        self.assertEqual({result.status for result in results}, {200})

    def test_limit_ends_when_it_is_no_longer_stated(self):
        for endpoint in self.deployment.endpoints:
            endpoint.state_limit(str(_RATE_PER_S))
        self._call_for(_CONTACT_S)
        for endpoint in self.deployment.endpoints:
            endpoint.end_limit()
        self._call_for(2.0)
        results = self._call_for(2.0)
        self.assertEqual({result.status for result in results}, {200})

    def test_unreadable_limit_costs_nothing(self):
        for endpoint in self.deployment.endpoints:
            endpoint.state_limit("many")
        results = self._call_for(2.0)
        self.assertEqual({result.status for result in results}, {200})


if __name__ == "__main__":
    unittest.main()
