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

    def share_of(self, total: float) -> float:
        """Returns this gateway's share of a number of indivisible items.

        The shares of all gateways never add up to more than the total, even
        while gateways start, restart or have lost contact with the store.

        Args:
            total: Number of items that all gateways may use together.
        """
