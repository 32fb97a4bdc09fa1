"""Tests of bronzeslip.forwarding.connection_share.

An endpoint resets connections beyond its limit. Without a share per gateway,
many gateways together would exceed that limit.
"""

import contextlib
import dataclasses
import types
import unittest

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import errors
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_LIMIT = forwarding_parts.CALL_SERVICE.max_connections


class ConnectionShareTest(unittest.IsolatedAsyncioTestCase):
    def _create(self, gateways, endpoints, watched=5, is_known=True):
        settings = dataclasses.replace(
            forwarding_parts.SETTINGS, watched_endpoints=watched
        )
        endpoint_directory = directory.EndpointDirectory(settings)
        endpoint_directory.replace_all(
            forwarding_parts.create_endpoint(f"e{number}", service_name="desk")
            for number in range(endpoints)
        )
        self.in_flight = in_flight_requests.InFlightRequests()
        return connection_share.ConnectionShare(
            settings,
            endpoint_directory,
            self.in_flight,
            types.SimpleNamespace(count=gateways, is_known=is_known),
        )

    async def test_gateways_together_stay_below_the_limit(self):
        for gateways, endpoints in ((5, 3), (29, 6), (29, 21), (100, 100)):
            share = self._create(gateways, endpoints)
            gateways_per_endpoint = min(5, endpoints) * gateways / endpoints
            limit = share.limit(forwarding_parts.CALL_SERVICE)
            self.assertLessEqual(limit * gateways_per_endpoint, _LIMIT)
            self.assertGreater((limit + 3) * gateways_per_endpoint, _LIMIT)

    async def test_one_request_is_always_allowed(self):
        share = self._create(1000, 1)
        self.assertEqual(share.limit(forwarding_parts.CALL_SERVICE), 1)

    async def test_full_limit_applies_until_gateways_are_counted(self):
        share = self._create(30, 3, is_known=False)
        self.assertEqual(share.limit(forwarding_parts.CALL_SERVICE), _LIMIT)

    async def test_full_endpoints_are_skipped_and_all_full_is_overloaded(self):
        one = forwarding_parts.create_endpoint("one", service_name="desk")
        two = forwarding_parts.create_endpoint("two", service_name="desk")
        components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}), (one, two)
        )
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), kind.RequestKind.AT_MOST_ONCE
        )
        with contextlib.ExitStack() as stack:
            for _ in range(_LIMIT):
                stack.enter_context(components.in_flight.track(one.endpoint_id))
            chosen = components.endpoint_chooser.choose(request, frozenset())
            self.assertEqual(chosen.endpoint_id, "two")
            for _ in range(_LIMIT):
                stack.enter_context(components.in_flight.track(two.endpoint_id))
            with self.assertRaises(errors.OverloadedError) as caught:
                components.endpoint_chooser.choose(request, frozenset())
        self.assertGreater(caught.exception.retry_after_s, 0)


if __name__ == "__main__":
    unittest.main()
