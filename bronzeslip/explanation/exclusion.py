"""Reasons why a request is not sent to an endpoint."""

import enum


class Exclusion(enum.Enum):
    """Reason why an endpoint does not receive a request.

    Attributes:
        LEAVING: It accepts no new requests.
        EVACUATED: Its failure domain is evacuated.
        OTHER_REGION: It is in no region that the request may be sent to.
        PAUSED: It asked not to be called for some time.
        UNREACHABLE: This gateway does not reach it, but others of the service.
        NO_PERMIT: A permit was denied within the limit that it states.
        COLD: It is cold and this gateway has used up its share.
        NO_CONNECTION: This gateway has used up its share of the connections.
        NOT_WATCHED: This gateway does not choose from it itself while another
            endpoint is available. A coordinator may name it.
    """

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    OTHER_REGION = "other-region"
    PAUSED = "paused"
    UNREACHABLE = "unreachable"
    NO_PERMIT = "no-permit"
    COLD = "cold"
    NO_CONNECTION = "no-connection"
    NOT_WATCHED = "not-watched"
