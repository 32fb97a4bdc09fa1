"""What must hold whatever fails."""

import enum


class Promise(enum.Enum):
    """A promise to callers."""

    AT_MOST_ONCE = "what must not repeat runs at most once"
    NOT_RUN_IS_TRUE = "what is told not to have run has not run"
    OWN_WHOLE_ANSWER = "a complete success is whole and the caller's own"
    EVENTS_IN_ORDER = "events come once, in order, from one run"
    ASKED_FOR = "endpoints run only what callers have sent"
    SERVES_AGAIN = "requests are served once the faults are over"
