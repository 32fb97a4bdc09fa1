"""Parts of a store's client that a list kept by all gateways needs."""

from typing import Protocol

from bronzeslip.store import registry_store
from bronzeslip.store import watched_store


class SharedStore(
    registry_store.RegistryStore, watched_store.WatchedStore, Protocol
):
    """Reads, writes and watches objects; raises errors.PlatformError."""
