"""Recent listings of the registered gateways."""

import collections
import math

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.entry import vm_config
from bronzeslip.quota import peer

logger = logs.get_logger(__name__)

# Address of each gateway for calls of other gateways; None for gateways of
# older versions, which have none.
PeerAddresses = dict[ids.VmId, vm_config.SocketAddress | None]


class _Listing(msgspec.Struct, frozen=True):
    """Gateways that were registered at one time.

    Attributes:
        addresses: Addresses of the gateways.
        read_s: Time of the listing, in seconds.
    """

    addresses: PeerAddresses
    read_s: float


class GatewayListings:
    """Merges all listings of some time, so that no gateway is left out early.

    Attributes:
        merged: Addresses of all gateways that were listed, and of this one.
    """

    def __init__(self, own: peer.Peer, kept_s: float) -> None:
        """Starts without a listing.

        Args:
            own: This gateway.
            kept_s: Time for which a listing is kept, in seconds.
        """
        self._own = own
        self._kept_s = kept_s
        self._listings: collections.deque[_Listing] = collections.deque()
        self.merged: PeerAddresses = {own.vm_id: own.address}

    def __bool__(self) -> bool:
        """Returns whether there is a listing."""
        return bool(self._listings)

    @property
    def latest_s(self) -> float:
        """Time of the latest listing in seconds, -inf before the first."""
        return self._listings[-1].read_s if self._listings else -math.inf

    def add(self, addresses: PeerAddresses, read_s: float) -> bool:
        """Adds a listing; returns whether the merged gateways have changed."""
        if (
            not self._listings
            or addresses.keys() != self._listings[-1].addresses.keys()
        ):
            logger.info("gateways.counted", count=len(addresses))
        self._listings.append(_Listing(addresses, read_s))
        while (
            len(self._listings) > 1
            and read_s - self._listings[0].read_s > self._kept_s
        ):
            self._listings.popleft()
        merged: PeerAddresses = {}
        for listing in self._listings:
            merged.update(listing.addresses)
        merged[self._own.vm_id] = self._own.address
        has_changed = merged != self.merged
        self.merged = merged
        return has_changed
