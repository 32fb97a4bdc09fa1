"""Invariants that must hold in every trial."""

import enum


class Invariant(enum.Enum):
    """An invariant of the system."""

    TOKENS_IN_ORDER = "each token arrives once, in order, from one generation"
    OWN_COMPLETE_RESULT = (
        "a completed result is whole and belongs to its request"
    )
    NOT_RUN_IS_ACCURATE = "a request reported as not run has not run"
    AT_MOST_ONCE = "a call that must not repeat runs at most once"
    NO_NEW_WORK_WHEN_LEAVING = "a leaving endpoint gets no new work"
    DRAIN_INTERRUPTS_NOTHING = "a graceful shutdown interrupts no request"
    PATCH_STAYS_IN_FORCE = (
        "an accepted patch takes effect and is never reverted"
    )
    FINAL_RESULT = (
        "every request gets a final result, and a delay before a retry"
    )
