"""Discovery entries that endpoints register in the store."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import fields
from bronzeslip.decoding import untrusted
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import boot_file
from bronzeslip.platform import errors

_OBJECT_KIND = "servers"
PREFIX = f"{_OBJECT_KIND}/"

_MS_PER_S = 1000
_ENDPOINT_STATES = {
    "ready": endpoint.EndpointState.READY,
    "draining": endpoint.EndpointState.LEAVING,
}


class _Entry(msgspec.Struct):
    """Entry as it is stored.

    Attributes:
        service: Name of the service.
        address: Host and port.
        zone: Failure domain.
        slots: Number of requests that the endpoint runs concurrently.
        state: Key of _ENDPOINT_STATES.
        cold_left_ms: Remaining warm-up time, in milliseconds.
        born: Start time by the endpoint's clock, in milliseconds since 1970.
    """

    service: str
    address: str
    zone: str
    slots: fields.Count
    state: str
    cold_left_ms: fields.Quantity = 0.0
    born: fields.Count = 0


def decode(key: ids.ObjectKey, value: msgspec.Raw) -> endpoint.Endpoint:
    """Decodes a discovery entry into the endpoint that it describes.

    Args:
        key: Key of the entry; its last part is the endpoint's id.
        value: The entry as JSON.

    Raises:
        errors.EntryError: If the entry does not describe a usable endpoint;
            other programs may write entries under the same prefix.
    """
    try:
        endpoint_id = untrusted.from_builtins(
            endpoint_id_of(key), fields.VisibleText
        )
        entry = untrusted.from_json(value, _Entry)
        address = boot_file.parse_address(entry.address)
    except (decoding_errors.UndecodableError, errors.AddressError) as error:
        raise errors.EntryError(error.message) from error
    state = _ENDPOINT_STATES.get(entry.state)
    if state is None or not entry.service or not entry.slots:
        raise errors.EntryError("unknown state, empty service or no slots")
    return endpoint.Endpoint(
        endpoint_id=ids.EndpointId(endpoint_id),
        service_name=ids.ServiceName(entry.service),
        host=address.host,
        port=address.port,
        failure_domain=ids.FailureDomainName(entry.zone),
        slots=entry.slots,
        state=state,
        started_unix_ms=entry.born,
        warmup_remaining_s=entry.cold_left_ms / _MS_PER_S,
    )


def endpoint_id_of(key: ids.ObjectKey) -> ids.EndpointId:
    """Returns the id of the endpoint with the given entry key."""
    return ids.EndpointId(key.removeprefix(PREFIX))
