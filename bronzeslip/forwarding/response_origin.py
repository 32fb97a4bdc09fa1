"""Where a response came from."""

import msgspec

from bronzeslip import ids


class ResponseOrigin(msgspec.Struct, frozen=True):
    """Endpoint and connection that a response was received from.

    Attributes:
        endpoint_id: Endpoint that the request was sent to.
        stamp: Stamp by which the endpoint signs the response, or None.
        connection_number: Number of the connection, unique in the process.
        response_number: Number of the response on its connection, from 1.
    """

    endpoint_id: ids.EndpointId
    stamp: str | None
    connection_number: int
    response_number: int
