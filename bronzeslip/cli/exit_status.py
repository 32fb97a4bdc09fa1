"""Exit statuses of bronzeslipctl."""

import enum


class ExitStatus(enum.IntEnum):
    """What a command came to, as its exit status.

    Attributes:
        OK: Done, or nothing to do.
        FAILED: The gateway refused the command for another reason.
        USAGE: The command line or a setting is wrong.
        STALE: Another patch came first; diff anew.
        INVALID: A declaration is wrong; nothing was changed.
        UNKNOWN: No gateway answered, or the outcome is not known.
        NOT_IN_FORCE: Accepted, but not in force everywhere in time.
        DIFFERENT: With diff --exit-code: there are differences.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    STALE = 3
    INVALID = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    DIFFERENT = 7
