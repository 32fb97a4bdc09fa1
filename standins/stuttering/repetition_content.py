"""Contents of the second response to a request."""

import enum


class RepetitionContent(enum.Enum):
    """How a second response differs from the first one."""

    SAME = "same"
    OTHER_STATUS = "other-status"
    UNNAMED = "unnamed"
