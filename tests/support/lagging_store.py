"""Store whose stale listings lag behind, and gateways that register in it."""

import msgspec

from bronzeslip import ids
from bronzeslip.entry import gateway_registry
from bronzeslip.settings import entry
from bronzeslip.store import errors
from bronzeslip.store import objects
from tests.support import forwarding_parts

_SETTINGS = entry.EntrySettings()


class LaggingStore:
    """Store whose stale listings are some seconds old.

    Attributes:
        unreachable_from: VMs of the gateways that do not reach the store.
    """

    def __init__(self, clock, lag_s):
        self._clock = clock
        self._lag_s = lag_s
        self._history = [(-1e9, {})]
        self.unreachable_from = set()

    @property
    def values(self):
        return self._history[-1][1]

    def change(self, values):
        self._history.append((self._clock(), values))

    def remove(self, key):
        self.change(
            {
                name: stored
                for name, stored in self.values.items()
                if name != key
            }
        )

    def restore_from(self, time_s):
        kept = [state for state in self._history if state[0] <= time_s]
        self.change(kept[-1][1])
        # A stale read after the restore returns the restored state.
        self._history = [(-1e9, kept[-1][1]), self._history[-1]]

    def listed_values(self):
        limit_s = self._clock() - self._lag_s
        return [
            values for time_s, values in self._history if time_s <= limit_s
        ][-1]


class _StoreOfGateway:
    """The store as one gateway reaches it."""

    def __init__(self, store, vm_id):
        self._store = store
        self._vm_id = vm_id

    def _check(self):
        if self._vm_id in self._store.unreachable_from:
            raise errors.PlatformUnavailableError("unavailable")

    async def get(self, key):
        self._check()
        return self._store.values.get(key)

    async def create(self, key, value):
        self._check()
        if key in self._store.values:
            raise errors.VersionConflictError(key)
        self._put(key, value)

    async def update(self, key, value, version):
        self._check()
        self._put(key, value)

    async def delete(self, key, version):
        self._check()
        self._store.remove(key)

    async def list_objects(self, prefix, may_be_stale=False):
        self._check()
        stored = tuple(self._store.listed_values().values())
        return objects.ObjectList(ids.ObjectVersion(1), stored)

    def _put(self, key, value):
        stored = objects.PlatformObject(
            key, 1, msgspec.Raw(msgspec.json.encode(value))
        )
        self._store.change({**self._store.values, key: stored})


class RegisteredGateway:
    """A gateway process that registers and counts the others.

    Attributes:
        registry: Registry of the gateway.
    """

    def __init__(self, store, vm_id, clock):
        self.registry = gateway_registry.GatewayRegistry(
            _SETTINGS,
            _StoreOfGateway(store, vm_id),
            forwarding_parts.create_peer(vm_id),
            clock,
        )
        self._clock = clock
        self._next_refresh_s = None

    async def keep_registered(self):
        """Does what the registry's task does, without waiting."""
        now_s = self._clock()
        if self._next_refresh_s is None:
            if await self.registry._try_register():
                self._next_refresh_s = now_s + _SETTINGS.gateway_refresh_s
        elif now_s >= self._next_refresh_s:
            await self.registry._refresh()
            self._next_refresh_s = now_s + 1.2 * _SETTINGS.gateway_refresh_s
