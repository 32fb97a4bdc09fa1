"""Entry point of a daemon: reads settings, configures logging and runs."""

import asyncio
from collections.abc import Callable
import contextlib
import os
import sys
from typing import Any
from typing import Protocol
from typing import TypeVar

from bronzeslip import library_logs
from bronzeslip import log_queue
from bronzeslip import logs
from bronzeslip.http import shutdown
from bronzeslip.settings import parser

logger = logs.get_logger(__name__)


class Daemon(Protocol):
    """A program that runs until it is asked to shut down."""

    async def run(self) -> None:
        """Serves requests until shutdown, then drains."""


class LoggingSettings(Protocol):
    """Logging settings of a daemon."""

    log_format: logs.LogFormat
    log_level: logs.LogLevel


SettingsT = TypeVar("SettingsT", bound=LoggingSettings)


def run(
    settings_type: type[SettingsT],
    program: str,
    description: str,
    create: Callable[[SettingsT], Daemon],
) -> None:
    """Reads the settings of a daemon and runs it.

    Args:
        settings_type: Settings of the daemon.
        program: Name of the command, for --help and error messages.
        description: What the command does, for --help.
        create: Factory of the daemon; called inside the event loop.
    """
    settings = parser.parse_or_exit(
        settings_type, program, description, sys.argv[1:], os.environ
    )
    logs.configure(settings.log_format, settings.log_level)
    library_logs.configure()
    with _log_writer(settings.log_format):
        asyncio.run(_create_and_run(create, settings))


def _log_writer(
    log_format: logs.LogFormat,
) -> contextlib.AbstractContextManager[None]:
    """Returns a context that writes JSON lines to stdout through a queue."""
    if log_format is logs.LogFormat.JSON:
        return log_queue.background_writer()
    return contextlib.nullcontext()


async def _create_and_run(
    create: Callable[[SettingsT], Daemon], settings: SettingsT
) -> None:
    asyncio.get_running_loop().set_exception_handler(_log_unhandled)
    try:
        await create(settings).run()
    except Exception as error:
        logger.error("daemon.failed", reason=logs.describe(error))
        raise
    logger.info("daemon.ended")
    shutdown.ignore_signals()


def _log_unhandled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Logs an exception that no task or callback has handled."""
    error = context.get("exception")
    logger.error(
        "daemon.unhandled",
        reason=context["message"] if error is None else logs.describe(error),
    )
