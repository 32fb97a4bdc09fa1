"""What must hold in every trial."""

import enum


class Promise(enum.Enum):
    """A promise of the system."""

    TOKENS_IN_ORDER = "each token once, in order, from one generation"
    OWN_WHOLE_ANSWER = "a finished answer is whole and the caller's own"
    NOT_RUN_IS_TRUE = "what is told not to have run has not run"
    AT_MOST_ONCE = "a call that must not repeat runs at most once"
    LEAVING_GETS_NO_WORK = "a leaving endpoint gets no new work"
    DRAIN_CUTS_NOTHING = "a graceful shutdown cuts no request"
    PATCH_IN_FORCE = "an accepted patch comes into force and never reverts"
    FINAL_ANSWER = "every request gets a final answer, with when to come back"
