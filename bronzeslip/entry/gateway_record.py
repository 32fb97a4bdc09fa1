"""Record of a running gateway in the store."""

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.entry import vm_config

logger = logs.get_logger(__name__)


class GatewayRecord(msgspec.Struct, frozen=True):
    """Record that a gateway writes at startup.

    Attributes:
        vm_id: VM that the gateway runs on.
        peer_address: Address for calls of other gateways, or None for a
            gateway of an older version.
    """

    vm_id: ids.VmId
    peer_address: vm_config.SocketAddress | None = None


def decode(value: msgspec.Raw) -> GatewayRecord | None:
    """Decodes a stored record; returns None if it can't be read."""
    try:
        return untrusted.from_json(value, GatewayRecord)
    except decoding_errors.UndecodableError as error:
        logger.warning("gateways.unreadable_record", reason=error.message)
        return None
