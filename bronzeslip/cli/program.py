"""Execution of bronzeslipctl, from arguments to exit status."""

import argparse
import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TextIO

import httpx

from bronzeslip.cli import arguments as command_line
from bronzeslip.cli import commands
from bronzeslip.cli import errors
from bronzeslip.cli import exit_status
from bronzeslip.cli import explain_command
from bronzeslip.cli import explanation_client
from bronzeslip.cli import operator_client
from bronzeslip.cli import printer
from bronzeslip.settings import errors as settings_errors
from bronzeslip.settings import explain
from bronzeslip.settings import operator
from bronzeslip.settings import parser as settings_parser


class Program:
    """One invocation of bronzeslipctl."""

    def __init__(
        self,
        environment: Mapping[str, str],
        stdin: TextIO,
        stdout: TextIO,
        stderr: TextIO,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates an invocation.

        Args:
            environment: Environment variables.
            stdin: Standard input.
            stdout: Standard output.
            stderr: Standard error output.
            transport: Transport to use instead of the network.
        """
        self._environment = environment
        self._stdin = stdin
        self._stdout = stdout
        self._stderr = stderr
        self._transport = transport
        self._printer = printer.Printer(
            operator.OutputFormat.TEXT, stdout, stderr
        )

    def run(self, argv: Sequence[str]) -> exit_status.ExitStatus:
        """Runs a command and returns its exit status."""
        try:
            arguments = command_line.build_parser().parse_args(argv)
            if arguments.command == command_line.HASH_COMMAND:
                self._printer.show(commands.hash_credential(self._stdin))
                return exit_status.ExitStatus.OK
            if arguments.command == command_line.EXPLAIN_COMMAND:
                return asyncio.run(self._explain(arguments))
            return asyncio.run(self._run(arguments))
        except settings_errors.SettingsError as error:
            self._printer.show_error(error.code, error.message)
            return exit_status.ExitStatus.USAGE
        except errors.CommandError as error:
            self._printer.show_error(error.code, error.message)
            return error.status

    async def _run(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        settings = settings_parser.parse(
            operator.OperatorSettings, arguments, self._environment
        )
        self._printer = printer.Printer(
            settings.output, self._stdout, self._stderr
        )
        client = operator_client.OperatorClient(settings, self._transport)
        try:
            handlers = commands.Commands(settings, client, self._printer)
            return await getattr(handlers, arguments.command)(arguments)
        finally:
            await client.close()

    async def _explain(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        settings = settings_parser.parse(
            explain.ExplainSettings, arguments, self._environment
        )
        self._printer = printer.Printer(
            settings.output, self._stdout, self._stderr
        )
        client = explanation_client.ExplanationClient(settings, self._transport)
        try:
            command = explain_command.ExplainCommand(
                settings, client, self._printer
            )
            return await command.run(arguments)
        finally:
            await client.close()
