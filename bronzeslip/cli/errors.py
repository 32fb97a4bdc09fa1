"""Errors of bronzeslipctl, each with its exit status."""

from bronzeslip import errors
from bronzeslip.cli import exit_status


class CommandError(errors.BronzeslipError):
    """A command failed.

    Attributes:
        status: Exit status of the program.
    """

    code = "command-failed"
    status = exit_status.ExitStatus.FAILED


class UsageError(CommandError):
    """The command line or a setting is wrong."""

    code = "usage"
    status = exit_status.ExitStatus.USAGE


class StaleError(CommandError):
    """The configuration has another number than the patch's base."""

    code = "configuration-stale"
    status = exit_status.ExitStatus.STALE


class InvalidDeclarationError(CommandError):
    """A declaration is wrong; nothing was changed."""

    code = "configuration-invalid"
    status = exit_status.ExitStatus.INVALID


class OutcomeUnknownError(CommandError):
    """No gateway told whether the patch was accepted."""

    code = "outcome-unknown"
    status = exit_status.ExitStatus.UNKNOWN


class UnreachableError(CommandError):
    """No gateway answered."""

    code = "unreachable"
    status = exit_status.ExitStatus.UNKNOWN


class NotInForceError(CommandError):
    """The number is not in force everywhere in time."""

    code = "not-in-force"
    status = exit_status.ExitStatus.NOT_IN_FORCE
