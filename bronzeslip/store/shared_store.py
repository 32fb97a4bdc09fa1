"""Interface of a store client for data shared by all gateways."""

from typing import Protocol

from bronzeslip.store import read_write_store
from bronzeslip.store import watched_store


class SharedStore(
    read_write_store.ReadWriteStore, watched_store.WatchedStore, Protocol
):
    """Reads, writes and watches objects.

    Methods may raise errors.PlatformError.
    """
