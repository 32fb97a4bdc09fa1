"""Tests of bronzeslip.endpoints.directory."""

import asyncio
import unittest

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from tests.support import forwarding_parts

_GRACE_S = forwarding_parts.SETTINGS.lapse_grace_s


class EndpointDirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.one = forwarding_parts.create_endpoint("one")
        self.two = forwarding_parts.create_endpoint("two")
        self.directory.replace_all((self.one, self.two))
        await asyncio.sleep(_GRACE_S * 1.5)
        self.notified = []
        self.directory.add_leaving_listener(self.notified.append)

    def _ready(self):
        return {
            found.endpoint_id
            for found in self.directory.ready_endpoints("pool")
        }

    async def test_removed_entry_is_dropped_at_once_without_an_outage(self):
        self.directory.remove("one")
        self.assertEqual(self._ready(), {"two"})
        self.assertEqual(self.notified, [self.one])

    # Guards against copies that compare all engines with each other, and list
    # them each time, while a failure domain is evacuated.
    async def test_endpoints_with_evacuated_ones_are_listed_once(self):
        three = forwarding_parts.create_endpoint("three", "b-1")
        self.directory.put(three)
        self.directory.evacuated_domains.add("b-1")
        listed = self.directory.ready_or_evacuated_endpoints("pool")
        self.assertEqual(set(listed), {self.one, self.two, three})
        self.assertIs(
            self.directory.ready_or_evacuated_endpoints("pool"), listed
        )
        self.directory.mark_leaving(three)
        self.assertEqual(
            set(self.directory.ready_or_evacuated_endpoints("pool")),
            {self.one, self.two},
        )
        self.directory.evacuated_domains.add("a-1")
        self.assertEqual(self._ready(), set())
        self.assertEqual(
            set(self.directory.ready_or_evacuated_endpoints("pool")),
            {self.one, self.two},
        )

    # A callback that raised kept the other entries of a listing from being
    # applied.
    async def test_failed_listener_does_not_hide_other_entries(self):
        def fail(_):
            raise KeyError

        self.directory.add_leaving_listener(fail)
        self.directory.add_gone_listener(fail)
        three = forwarding_parts.create_endpoint("three")
        self.directory.replace_all((three,))
        self.assertEqual(self._ready(), {"three"})

    async def test_leaving_entry_accepts_no_requests(self):
        self.directory.put(
            forwarding_parts.create_endpoint(
                "one", state=endpoint.EndpointState.LEAVING
            )
        )
        self.assertEqual(self._ready(), {"two"})
        self.assertEqual(
            [found.endpoint_id for found in self.notified], ["one"]
        )
        self.assertIsNotNone(self.directory.get("one"))

    async def test_lapsed_entry_is_used_until_the_grace_period_ends(self):
        self.directory.mark_source_lost()
        self.directory.replace_all((self.two,))
        self.assertEqual(self._ready(), {"one", "two"})
        await asyncio.sleep(_GRACE_S * 1.5)
        self.assertEqual(self._ready(), {"two"})
        self.assertEqual(self.notified, [self.one])

    async def test_lapsed_entry_that_comes_back_stays(self):
        self.directory.mark_source_lost()
        self.directory.replace_all((self.two,))
        self.directory.put(self.one)
        await asyncio.sleep(_GRACE_S * 1.5)
        self.assertEqual(self._ready(), {"one", "two"})
        self.assertEqual(self.notified, [])

    async def test_nothing_expires_while_the_source_is_unreachable(self):
        self.directory.mark_source_lost()
        self.directory.remove("one")
        await asyncio.sleep(_GRACE_S * 1.5)
        self.assertEqual(self._ready(), {"one", "two"})

    async def test_restart_under_the_same_id_ends_the_old_incarnation(self):
        restarted = forwarding_parts.create_endpoint("one", started_unix_ms=5)
        self.directory.put(restarted)
        self.assertEqual(self.notified, [self.one])
        self.assertFalse(self.directory.accepts_requests(self.one))
        self.assertTrue(self.directory.accepts_requests(restarted))

    async def test_change_wakes_waiters(self):
        waiting = asyncio.create_task(self.directory.wait_for_change(10))
        await asyncio.sleep(0)
        self.directory.remove("one")
        await asyncio.wait_for(waiting, 1)

    async def test_endpoint_that_announces_leaving_stays_leaving(self):
        self.directory.mark_leaving(self.one)
        self.assertEqual(self._ready(), {"two"})
        self.assertEqual(
            [found.endpoint_id for found in self.notified], ["one"]
        )
        self.directory.put(
            forwarding_parts.create_endpoint("one", warmup_remaining_s=1.0)
        )
        self.assertEqual(self._ready(), {"two"})
        self.directory.put(
            forwarding_parts.create_endpoint("one", started_unix_ms=9)
        )
        self.assertEqual(self._ready(), {"one", "two"})

    async def test_unreachable_endpoint_is_skipped_until_reachable(self):
        self.directory.set_reachable(self.one, False)
        self.assertEqual(self._ready(), {"two"})
        self.assertEqual(self.notified, [])
        self.directory.set_reachable(self.one, True)
        self.assertEqual(self._ready(), {"one", "two"})

    async def test_all_are_used_if_none_is_reachable(self):
        self.directory.set_reachable(self.one, False)
        self.directory.set_reachable(self.two, False)
        self.assertEqual(self._ready(), {"one", "two"})
