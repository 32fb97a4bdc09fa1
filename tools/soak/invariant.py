"""What must hold whatever fails."""

import enum


class Invariant(enum.Enum):
    """A promise to callers."""

    AT_MOST_ONCE = "what must not repeat runs at most once"
    NOT_RUN_IS_ACCURATE = "what is told not to have run has not run"
    OWN_COMPLETE_RESULT = "a complete success is whole and the caller's own"
    EVENTS_IN_ORDER = "events come once, in order, from one run"
    ONLY_SENT_REQUESTS = "endpoints run only what callers have sent"
    RECOVERS_AFTER_FAULTS = "requests are served once the faults are over"
