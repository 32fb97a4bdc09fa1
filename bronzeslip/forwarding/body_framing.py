"""How the end of a response body is marked."""

import enum


class BodyFraming(enum.Enum):
    """How the end of a response body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # Nothing but the end of the connection tells where the body ends.
    CONNECTION_END = "connection-end"
