"""Start of a daemon from its command line."""

import asyncio
from collections.abc import Callable
import contextlib
import os
import sys
from typing import Protocol
from typing import TypeVar

from bronzeslip import log_queue
from bronzeslip import logs
from bronzeslip.settings import parser


class Daemon(Protocol):
    """A program that runs until it is told to shut down."""

    async def run(self) -> None:
        """Serves, then drains."""


class LoggingSettings(Protocol):
    """Settings that say how a daemon logs."""

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
        program: Name of the command.
        description: What the command does, for --help.
        create: Creates the daemon; called inside the event loop.
    """
    settings = parser.parse_or_exit(
        settings_type, program, description, sys.argv[1:], os.environ
    )
    logs.configure(settings.log_format, settings.log_level)
    with _log_writer(settings.log_format):
        asyncio.run(_create_and_run(create, settings))


def _log_writer(
    log_format: logs.LogFormat,
) -> contextlib.AbstractContextManager[None]:
    """Lines for machines go to standard output, by way of a queue."""
    if log_format is logs.LogFormat.JSON:
        return log_queue.background_writer()
    return contextlib.nullcontext()


async def _create_and_run(
    create: Callable[[SettingsT], Daemon], settings: SettingsT
) -> None:
    await create(settings).run()
