"""Exit statuses of bronzeslipctl."""

import enum


class ExitStatus(enum.IntEnum):
    """Result of a command as its exit status.

    Attributes:
        OK: The command succeeded, or there was nothing to do.
        FAILED: The command failed for a reason not listed below.
        USAGE: The command line or a setting is invalid.
        STALE: Another patch was accepted first; run diff again.
        INVALID: A declaration is invalid; nothing was changed.
        UNKNOWN: No gateway responded, or the outcome is unknown.
        NOT_IN_FORCE: The patch was accepted but was not in force everywhere
            before the timeout.
        DIFFERENT: diff --exit-code found differences.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    STALE = 3
    INVALID = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    DIFFERENT = 7
