"""Tests of evacuations that are read from a store that fails midway."""

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import readiness
from bronzeslip.places import evacuated_domains
from bronzeslip.platform import evacuation_follower
from bronzeslip.routes import current
from bronzeslip.store import errors
from bronzeslip.store import follower
from bronzeslip.store import objects
from tests.support import forwarding_parts
from tests.support import nested_json
from tests.support import polling

_TIMING = follower.FollowTiming(
    watch_wait_s=5.0, min_backoff_s=0.01, max_backoff_s=0.02
)


class _Store:
    """Store with evacuations, whose calls fail while it is not available."""

    def __init__(self):
        self.stored = {}
        self.is_available = True
        self.changes = asyncio.Queue()
        self.list_count = 0

    async def list_objects(self, prefix):
        self.list_count += 1
        self._check()
        return objects.ObjectList(
            1,
            tuple(
                objects.PlatformObject(f"{prefix}{name}", 1, value)
                for name, value in self.stored.items()
            ),
        )

    async def watch(self, prefix, after, wait_s):
        self._check()
        kind, name = await self.changes.get()
        self._check()
        event = objects.ObjectEvent(kind, f"{prefix}{name}", after + 1)
        return objects.WatchBatch(after + 1, (event,))

    def _check(self):
        if not self.is_available:
            raise errors.PlatformUnavailableError("unavailable")


class EvacuationFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = _Store()
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.directory.replace_all([forwarding_parts.create_endpoint("one")])
        self.domains = self.directory.evacuated_domains
        self.table = current.CurrentTable()
        self.readiness = readiness.Readiness(self.table, self.directory)
        self.follower = evacuation_follower.EvacuationFollower(
            self.store,
            self.domains,
            _TIMING,
            lambda: self.table.table is not None,
        )

    def _start(self):
        self.domains.start_following()
        task = asyncio.create_task(self.follower.run())
        self.addCleanup(task.cancel)

    async def _wait_for(self, *domains):
        await polling.wait_until(
            lambda: (
                len(self.domains) == len(domains)
                and all(domain in self.domains for domain in domains)
            )
        )

    async def test_only_the_presence_of_an_object_counts(self):
        self.store.stored = {
            "a-1": msgspec.Raw(b"null"),
            "a-2": msgspec.Raw(b'{"spec":7}'),
            "b-1": nested_json.OBJECT,
        }
        self._start()
        await self._wait_for("a-1", "a-2", "b-1")
        self.store.changes.put_nowait((objects.EventKind.DELETE, "a-2"))
        await self._wait_for("a-1", "b-1")
        self.store.changes.put_nowait((objects.EventKind.PUT, "a-3"))
        await self._wait_for("a-1", "a-3", "b-1")

    async def test_store_that_is_lost_while_an_evacuation_is_written(self):
        self.store.stored = {"a-1": msgspec.Raw(b"{}")}
        self._start()
        await self._wait_for("a-1")
        # The write takes effect, but the store is lost before it tells.
        self.store.stored = {"a-2": msgspec.Raw(b"{}")}
        self.store.is_available = False
        with mock.patch.object(evacuated_domains.logger, "warning") as warning:
            self.follower.interrupt()
            seen = self.store.list_count
            await polling.wait_until(lambda: self.store.list_count > seen + 3)
        warning.assert_called_once_with(
            "evacuations.source_lost", domains=["a-1"]
        )
        self.assertIn(ids.FailureDomainName("a-1"), self.domains)
        self.store.is_available = True
        await self._wait_for("a-2")

    # Guards against a watch that hides an evacuation after a restore.
    async def test_interrupted_watch_lists_again(self):
        self._start()
        await polling.wait_until(lambda: self.store.list_count == 1)
        await asyncio.sleep(0.01)
        self.store.stored = {"a-1": msgspec.Raw(b"{}")}
        self.follower.interrupt()
        await self._wait_for("a-1")

    async def test_gateway_is_not_ready_before_it_knows_the_evacuations(self):
        self.table.adopt(forwarding_parts.create_table())
        self.assertTrue(self.readiness.is_ready)
        self.store.is_available = False
        self._start()
        await polling.wait_until(lambda: self.store.list_count > 1)
        self.assertFalse(self.readiness.is_ready)
        self.store.is_available = True
        await polling.wait_until(lambda: self.readiness.is_ready)

    async def test_refused_listing_delays_readiness_only_for_some_time(self):
        self.store.is_available = False
        with mock.patch.object(evacuated_domains, "_MAX_REFUSAL_S", 0.05):
            self._start()
            await asyncio.sleep(0.1)
            self.assertFalse(self.domains.is_ready)
            self.table.adopt(forwarding_parts.create_table())
            await asyncio.sleep(0.03)
            self.assertFalse(self.readiness.is_ready)
            await polling.wait_until(lambda: self.readiness.is_ready)


if __name__ == "__main__":
    unittest.main()
