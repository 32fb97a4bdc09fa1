"""Tests of bronzeslip.endpoints.watched_endpoints."""

import collections
import unittest
from unittest import mock

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.membership import rendezvous
from bronzeslip.routes import current
from bronzeslip.routes import kind
from bronzeslip.routes import route
from bronzeslip.settings import entry
from tests.support import forwarding_parts

_LIMIT = 8
_SETTINGS = entry.EntrySettings(watched_endpoints=_LIMIT)


class WatchedEndpointsTest(unittest.IsolatedAsyncioTestCase):
    def _create_watched(self, count, vm_id="front-1", **route_changes):
        endpoints = directory.EndpointDirectory(_SETTINGS)
        domains = ("a-1", "a-2", "b-1")
        endpoints.replace_all(
            forwarding_parts.create_endpoint(f"e{number}", domains[number % 3])
            for number in range(count)
        )
        this_vm = msgspec.structs.replace(
            forwarding_parts.VM_CONFIG, vm_id=ids.VmId(vm_id)
        )
        current_table = current.CurrentTable()
        current_table.adopt(
            forwarding_parts.create_table(
                forwarding_parts.create_route(
                    kind.RequestKind.STREAM,
                    services=(
                        route.WeightedService(
                            forwarding_parts.ENGINE_SERVICE.name
                        ),
                    ),
                    **route_changes,
                )
            )
        )
        return watched_endpoints.WatchedEndpoints(
            _SETTINGS, this_vm, endpoints, current_table
        )

    async def test_small_service_is_watched_completely(self):
        self.assertEqual(
            len(self._create_watched(_LIMIT).for_service("pool")), _LIMIT
        )

    # Guards against ranking all endpoints for each request where a gateway
    # serves several large services by turns.
    async def test_services_used_by_turns_are_selected_once_each(self):
        endpoints = directory.EndpointDirectory(_SETTINGS)
        endpoints.replace_all(
            forwarding_parts.create_endpoint(
                f"{name}-{number}", ("a-1", "b-1")[number % 2], name
            )
            for name in ("pool", "desk")
            for number in range(60)
        )
        watched = watched_endpoints.WatchedEndpoints(
            _SETTINGS,
            forwarding_parts.VM_CONFIG,
            endpoints,
            current.CurrentTable(),
        )
        with mock.patch.object(
            rendezvous, "ranked", wraps=rendezvous.ranked
        ) as ranked:
            for _ in range(10):
                self.assertEqual(len(watched.for_service("pool")), _LIMIT)
                self.assertEqual(len(watched.for_service("desk")), _LIMIT)
            self.assertEqual(ranked.call_count, 2)
            before = watched.for_service("pool")
            endpoints.mark_leaving(before[0])
            self.assertNotIn(before[0], watched.for_service("pool"))

    async def test_large_service_is_limited_and_half_in_own_region(self):
        chosen = self._create_watched(60).for_service("pool")
        self.assertEqual(len(chosen), _LIMIT)
        near = [
            found for found in chosen if found.failure_domain.startswith("a")
        ]
        self.assertEqual(len(near), _LIMIT // 2)

    async def test_gateways_are_distributed_over_endpoints(self):
        counts = collections.Counter()
        for number in range(60):
            watched = self._create_watched(30, f"front-{number}")
            counts.update(
                found.endpoint_id for found in watched.for_service("pool")
            )
        self.assertEqual(len(counts), 30)
        self.assertLess(max(counts.values()), 40)

    # Guards against restricted requests without a polled endpoint.
    async def test_selection_has_two_endpoints_of_each_named_region(self):
        for regions in ({"a"}, {"b"}, {"a", "b"}):
            for number in range(20):
                chosen = self._create_watched(
                    60, f"front-{number}", permitted_regions=frozenset(regions)
                ).for_service("pool")
                self.assertEqual(len(set(chosen)), _LIMIT)
                for region in regions:
                    found = [
                        candidate
                        for candidate in chosen
                        if candidate.failure_domain.startswith(region)
                    ]
                    self.assertGreaterEqual(len(found), 2)

    async def test_region_without_endpoints_does_not_change_the_selection(self):
        self.assertEqual(
            self._create_watched(60).for_service("pool"),
            self._create_watched(
                60, permitted_regions=frozenset({"elsewhere"})
            ).for_service("pool"),
        )
