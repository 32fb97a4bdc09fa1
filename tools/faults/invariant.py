"""What must hold in every trial."""

import enum


class Invariant(enum.Enum):
    """A promise of the system."""

    TOKENS_IN_ORDER = "each token once, in order, from one generation"
    OWN_COMPLETE_RESULT = "a finished answer is whole and the caller's own"
    NOT_RUN_IS_ACCURATE = "what is told not to have run has not run"
    AT_MOST_ONCE = "a call that must not repeat runs at most once"
    NO_NEW_WORK_WHEN_LEAVING = "a leaving endpoint gets no new work"
    DRAIN_INTERRUPTS_NOTHING = "a graceful shutdown cuts no request"
    PATCH_STAYS_IN_EFFECT = (
        "an accepted patch comes into force and never reverts"
    )
    FINAL_RESULT = "every request gets a final answer, with when to come back"
