"""Record of a running gateway in the store."""

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import addresses
from bronzeslip.decoding import errors
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
    """Decodes a stored record.

    Returns:
        The record, or None if it can't be read or names no usable address.
    """
    try:
        record = untrusted.from_json(value, GatewayRecord)
        if record.peer_address is not None:
            addresses.check_host_name(record.peer_address.host)
            addresses.check_port(record.peer_address.port)
    except errors.UndecodableError as error:
        logger.info("gateways.unreadable_record", reason=error.message)
        return None
    return record
