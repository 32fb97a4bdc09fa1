"""What an endpoint has stated about the requests that it takes."""

import msgspec


class LimitStatement(msgspec.Struct, frozen=True):
    """Limit on the requests that an endpoint takes from all gateways.

    Attributes:
        rate_per_s: Requests per second, or None if there is no limit any more.
        stated_s: Time of the statement on the event loop's clock, in seconds.
    """

    rate_per_s: float | None
    stated_s: float
