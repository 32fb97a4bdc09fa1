"""Size and length of a trial."""

import msgspec


class SoakSettings(msgspec.Struct, frozen=True):
    """What a trial consists of.

    Attributes:
        length_s: Time in which faults come, in seconds.
        gateways: Number of gateways.
        endpoints: Number of endpoints of each of the two services.
        callers: Number of callers.
        series: Series of faults that overlap each other.
    """

    length_s: float = 8.0
    gateways: int = 2
    endpoints: int = 2
    callers: int = 6
    series: int = 1
