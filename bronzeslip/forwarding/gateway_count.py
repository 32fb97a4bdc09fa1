"""How many gateways share what holds for all of them."""

from typing import Protocol


class GatewayCount(Protocol):
    """Number of gateways, as far as one of them knows.

    Attributes:
        count: The number, rather too high until it is known.
        is_known: Whether the gateways have been counted.
    """

    count: int
    is_known: bool
