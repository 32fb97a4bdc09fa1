"""Tests of bronzeslip.entry.gateway_registry."""

import asyncio
import contextlib
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.entry import gateway_record
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import vm_config
from bronzeslip.quota import standing
from bronzeslip.settings import entry
from bronzeslip.store import errors
from bronzeslip.store import objects
from tests.support import forwarding_parts
from tests.support import nested_json
from tests.support import polling

_SETTINGS = entry.EntrySettings(gateway_refresh_s=0.05, store_staleness_s=0.1)


class _FakeStore:
    """In-memory store that can be made unavailable."""

    def __init__(self):
        self.values = {}
        self.is_unavailable = False
        self.list_error = None

    def _raise_if_unavailable(self):
        if self.is_unavailable:
            raise errors.PlatformUnavailableError("unavailable")

    async def get(self, key):
        self._raise_if_unavailable()
        if key not in self.values:
            return None
        return objects.PlatformObject(
            key, 1, msgspec.Raw(msgspec.json.encode(self.values[key]))
        )

    async def update(self, key, value, version):
        self._raise_if_unavailable()
        self.values[key] = value

    async def create(self, key, value):
        self._raise_if_unavailable()
        if key in self.values:
            raise errors.VersionConflictError(key)
        self.values[key] = value

    async def delete(self, key, version):
        self._raise_if_unavailable()
        del self.values[key]

    async def list_objects(self, prefix, may_be_stale=False):
        self._raise_if_unavailable()
        if self.list_error is not None:
            raise self.list_error
        stored = tuple(
            objects.PlatformObject(
                key, 1, msgspec.Raw(msgspec.json.encode(value))
            )
            for key, value in self.values.items()
        )
        return objects.ObjectList(ids.ObjectVersion(1), stored)


class GatewayRegistryTest(unittest.IsolatedAsyncioTestCase):
    def _start(self, store, vm_id):
        registry = gateway_registry.GatewayRegistry(
            _SETTINGS, store, forwarding_parts.create_peer(vm_id)
        )
        task = asyncio.create_task(registry.run())
        self.addAsyncCleanup(self._stop, task)
        return registry

    async def _stop(self, task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def test_all_registered_gateways_are_counted(self):
        store = _FakeStore()
        store.values[gateway_registry.PREFIX + "other"] = None
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.count == 2)

    async def test_count_is_high_until_the_first_listing(self):
        store = _FakeStore()
        store.is_unavailable = True
        registry = self._start(store, "one")
        await asyncio.sleep(0.05)
        self.assertGreaterEqual(registry.count, 30)

    async def test_restart_finds_its_own_record(self):
        store = _FakeStore()
        store.values[gateway_registry.PREFIX + "one"] = None
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.count == 1)

    async def test_restart_at_another_address_replaces_the_record(self):
        store = _FakeStore()
        store.values[gateway_registry.PREFIX + "one"] = (
            gateway_record.GatewayRecord(
                ids.VmId("one"), vm_config.SocketAddress("10.0.0.9", 1)
            )
        )
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.is_known)
        own = forwarding_parts.create_peer("one")
        (record,) = store.values.values()
        self.assertEqual(record.peer_address, own.address)
        self.assertIs(
            registry.standing_for("key", is_fallback=False),
            standing.Standing.NONE,
        )

    async def test_restarted_gateway_has_partial_standing_until_it_settles(
        self,
    ):
        store = _FakeStore()
        own = forwarding_parts.create_peer("one")
        store.values[gateway_registry.PREFIX + "one"] = (
            gateway_record.GatewayRecord(own.vm_id, own.address)
        )
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.is_known)
        self.assertIs(
            registry.standing_for("key", is_fallback=False),
            standing.Standing.PARTIAL,
        )
        await polling.wait_until(
            lambda: (
                registry.standing_for("key", is_fallback=False)
                is standing.Standing.FULL
            )
        )

    async def test_new_gateway_has_no_standing_until_it_settles(self):
        registry = self._start(_FakeStore(), "one")
        await polling.wait_until(lambda: registry.is_known)
        self.assertIs(
            registry.standing_for("key", is_fallback=False),
            standing.Standing.NONE,
        )

    async def test_second_gateway_stands_in_only_as_a_fallback(self):
        store = _FakeStore()
        registries = {name: self._start(store, name) for name in ("one", "two")}
        await polling.wait_until(
            lambda: all(
                registry.count == 2 and registry._is_settled()
                for registry in registries.values()
            )
        )
        first, second = (
            candidate.vm_id for candidate in registries["one"].ranked("key")
        )
        for name, is_fallback, expected in (
            (first, False, standing.Standing.FULL),
            (first, True, standing.Standing.FULL),
            (second, False, standing.Standing.NONE),
            (second, True, standing.Standing.PARTIAL),
        ):
            with self.subTest(name=name, is_fallback=is_fallback):
                self.assertIs(
                    registries[name].standing_for("key", is_fallback), expected
                )

    async def test_gateways_of_older_versions_are_counted_but_not_ranked(self):
        store = _FakeStore()
        store.values[gateway_registry.PREFIX + "old"] = {"vm_id": "old"}
        store.values[gateway_registry.PREFIX + "odd"] = {"peer_address": 7}
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.count == 3)
        ranked = [candidate.vm_id for candidate in registry.ranked("key")]
        self.assertEqual(ranked, ["one"])

    async def test_missing_listing_is_read_as_soon_as_it_is_needed(self):
        registry = gateway_registry.GatewayRegistry(
            entry.EntrySettings(gateway_refresh_s=60.0),
            _FakeStore(),
            forwarding_parts.create_peer("one"),
        )
        running = asyncio.create_task(registry.run())
        self.addAsyncCleanup(self._stop, running)
        await asyncio.sleep(0.05)
        self.assertEqual(registry.ranked("key"), ())
        registry.refresh_soon()
        await polling.wait_until(lambda: registry.is_known)

    async def test_deregistered_gateway_is_not_counted(self):
        store = _FakeStore()
        registry = self._start(store, "one")
        await polling.wait_until(lambda: store.values)
        await registry.deregister()
        self.assertEqual(store.values, {})

    async def test_deregistering_during_an_outage_does_not_raise(self):
        store = _FakeStore()
        store.is_unavailable = True
        registry = gateway_registry.GatewayRegistry(
            _SETTINGS, store, forwarding_parts.create_peer("one")
        )
        await registry.deregister()

    async def test_lost_record_is_written_again(self):
        store = _FakeStore()
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.is_known)
        store.values.clear()
        await polling.wait_until(lambda: store.values)

    async def test_deregistered_gateway_does_not_register_again(self):
        store = _FakeStore()
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.is_known)
        await registry.deregister()
        await asyncio.sleep(0.2)
        self.assertEqual(store.values, {})

    async def test_restored_store_is_read_at_once(self):
        store = _FakeStore()
        registry = gateway_registry.GatewayRegistry(
            entry.EntrySettings(gateway_refresh_s=60.0),
            store,
            forwarding_parts.create_peer("one"),
        )
        await registry._try_register()
        refreshing = asyncio.create_task(registry._refresh_until_cancelled())
        self.addAsyncCleanup(self._stop, refreshing)
        await polling.wait_until(lambda: registry.is_known)
        store.values.clear()
        registry.on_store_restored()
        await polling.wait_until(lambda: store.values)

    # One deeply nested record ended all gateways that counted each other.
    async def test_record_that_cannot_be_decoded_is_counted(self):
        store = _FakeStore()
        store.values[gateway_registry.PREFIX + "bad"] = nested_json.OBJECT
        store.values[gateway_registry.PREFIX + "other"] = None
        registry = self._start(store, "one")
        await polling.wait_until(lambda: registry.count == 3)

    # A registry that ran again after a failure lost its share of all limits.
    async def test_registry_that_runs_again_keeps_its_standing(self):
        store = _FakeStore()
        registry = gateway_registry.GatewayRegistry(
            _SETTINGS, store, forwarding_parts.create_peer("one")
        )
        first = asyncio.create_task(registry.run())
        await polling.wait_until(registry._is_settled)
        store.list_error = RecursionError()
        with self.assertRaises(RecursionError):
            await first
        store.list_error = None
        second = asyncio.create_task(registry.run())
        self.addAsyncCleanup(self._stop, second)
        await asyncio.sleep(0)
        self.assertTrue(registry._is_settled())
        before_s = registry._listings.latest_s
        await polling.wait_until(lambda: registry._listings.latest_s > before_s)
        self.assertEqual(list(store.values), [registry._key])

    # A gateway that was registered a moment ago took itself for one that all
    # others had listed.
    async def test_new_registry_that_runs_again_has_no_standing(self):
        store = _FakeStore()
        store.list_error = RecursionError()
        registry = gateway_registry.GatewayRegistry(
            _SETTINGS, store, forwarding_parts.create_peer("one")
        )
        with self.assertRaises(RecursionError):
            await registry.run()
        store.list_error = None
        second = asyncio.create_task(registry.run())
        self.addAsyncCleanup(self._stop, second)
        await polling.wait_until(lambda: registry.is_known)
        self.assertFalse(registry._was_listed_before)
