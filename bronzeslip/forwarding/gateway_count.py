"""Interface for the number of gateways that share a limit."""

from typing import Protocol


class GatewayCount(Protocol):
    """Number of running gateways as seen by one of them.

    Attributes:
        count: Number of gateways; overestimated until they are counted.
        is_known: Whether the gateways have been counted.
    """

    count: int
    is_known: bool
