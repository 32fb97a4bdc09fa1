"""Times at which a second response is sent."""

import enum


class RepetitionTime(enum.Enum):
    """When a second response is sent."""

    AT_ONCE = "at-once"
    # Some milliseconds after the first one.
    LATER = "later"
    # Directly before the response to the next request on the connection.
    BEFORE_NEXT = "before-next"
    # Half of it at once and half of it before the next response.
    IN_HALVES = "in-halves"
