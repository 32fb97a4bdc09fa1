"""Request of a gateway for a permit."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields
from bronzeslip.quota import peer


class PermitRequest(msgspec.Struct, frozen=True):
    """Asks the coordinator of an endpoint for a permit to send one request.

    Without a rate, it tells any gateway that the limit has ended.

    Attributes:
        endpoint_id: Id of the endpoint.
        address: Address of the endpoint.
        started_unix_ms: Start time of the endpoint's incarnation, in
            milliseconds.
        rate_per_s: Latest limit known to the gateway, in requests per second,
            or None if the endpoint no longer states one.
        statement_age_s: Age of that knowledge, in seconds.
        reserved: Permits to leave for more important requests.
        is_fallback: Whether the coordinator could not be asked.
        sender: The asking gateway.
        is_cold: Whether the rate is that of a cold endpoint, stated by its
            service and not by the endpoint.
    """

    endpoint_id: ids.EndpointId
    address: str
    started_unix_ms: fields.Count
    rate_per_s: fields.NonNegativeQuantity | None
    statement_age_s: fields.Quantity
    reserved: fields.NonNegativeQuantity
    is_fallback: bool
    sender: peer.Peer
    is_cold: bool = False
