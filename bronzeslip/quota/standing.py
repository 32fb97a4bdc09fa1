"""Whether a gateway may grant permits."""

import enum


class Standing(enum.Enum):
    """Part of an endpoint's limit that a gateway may grant.

    Attributes:
        FULL: No other gateway can be coordinating the endpoint.
        PARTIAL: Another gateway may be coordinating it too.
        NONE: This gateway must not grant permits.
    """

    FULL = "full"
    PARTIAL = "partial"
    NONE = "none"
