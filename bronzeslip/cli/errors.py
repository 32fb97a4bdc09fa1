"""Errors of bronzeslipctl with their exit statuses."""

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
    """The command line or a setting is invalid."""

    code = "usage"
    status = exit_status.ExitStatus.USAGE


class StaleConfigurationError(CommandError):
    """The current number is not the base number of the patch."""

    code = "configuration-stale"
    status = exit_status.ExitStatus.STALE


class InvalidDeclarationError(CommandError):
    """A declaration is invalid; nothing was changed."""

    code = "configuration-invalid"
    status = exit_status.ExitStatus.INVALID


class OutcomeUnknownError(CommandError):
    """No gateway reported whether the patch was accepted."""

    code = "outcome-unknown"
    status = exit_status.ExitStatus.UNKNOWN


class UnreachableError(CommandError):
    """No gateway responded."""

    code = "unreachable"
    status = exit_status.ExitStatus.UNKNOWN


class NotInForceError(CommandError):
    """The number was not in force everywhere before the timeout."""

    code = "not-in-force"
    status = exit_status.ExitStatus.NOT_IN_FORCE
