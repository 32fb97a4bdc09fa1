"""Settings of a soak trial."""

import msgspec


class SoakSettings(msgspec.Struct, frozen=True):
    """Size and duration of a trial.

    Attributes:
        length_s: Time during which faults are injected, in seconds.
        gateways: Number of gateways.
        endpoints: Number of endpoints of each of the two services.
        callers: Number of callers.
        series: Number of series of faults that overlap.
    """

    length_s: float = 8.0
    gateways: int = 2
    endpoints: int = 2
    callers: int = 6
    series: int = 1
