"""Interface of a store client for data shared by all gateways."""

from typing import Protocol

from bronzeslip.store import registry_store
from bronzeslip.store import watched_store


class SharedStore(
    registry_store.RegistryStore, watched_store.WatchedStore, Protocol
):
    """Reads, writes and watches objects.

    Methods may raise errors.PlatformError.
    """
