"""Gateway as other gateways reach it."""

import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config


class Peer(msgspec.Struct, frozen=True):
    """A gateway.

    Attributes:
        vm_id: VM that it runs on.
        address: Address for calls of other gateways.
    """

    vm_id: ids.VmId
    address: vm_config.SocketAddress
