"""What a connection to a server has been used for."""

from collections.abc import Callable
import itertools

import msgspec

_numbers = itertools.count(1)


class ConnectionUse(msgspec.Struct):
    """Number of a connection and of the responses received on it.

    Attributes:
        number: Number of the connection, unique within the process.
        response_count: Number of responses whose heads were received on it.
        unread_bytes: Returns the bytes received that were not parsed yet.
    """

    number: int = msgspec.field(default_factory=lambda: next(_numbers))
    response_count: int = 0
    unread_bytes: Callable[[], bytes] = bytes
