"""Command-line parser of bronzeslipctl."""

import argparse

from bronzeslip.cli import exit_status
from bronzeslip.decoding import errors
from bronzeslip.decoding import fields
from bronzeslip.decoding import numbers
from bronzeslip.decoding import untrusted
from bronzeslip.settings import explain
from bronzeslip.settings import operator
from bronzeslip.settings import parser as settings_parser

PROGRAM = "bronzeslipctl"
HASH_COMMAND = "hash-credential"
EXPLAIN_COMMAND = "explain"
_DESCRIPTION = "Manages the configuration of bronzeslip from declaration files."
_WAIT_TIMEOUT_S = 60.0


def build_parser() -> argparse.ArgumentParser:
    """Builds the argument parser with all commands."""
    parser = settings_parser.SettingsParser(
        prog=PROGRAM,
        description=_DESCRIPTION,
        epilog=_exit_status_help(),
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(
        dest="command", metavar="COMMAND", required=True
    )
    _add_diff(commands)
    _add_apply(commands)
    _add_get(commands)
    _add_command(commands, "history", "shows the most recent patches")
    _add_command(
        commands,
        "status",
        "shows which number is in force in each failure domain",
    )
    _add_watch(commands)
    _add_explain(commands)
    commands.add_parser(
        HASH_COMMAND,
        help="reads a credential from standard input and prints its digest",
        allow_abbrev=False,
    )
    return parser


def _exit_status_help() -> str:
    listed = ", ".join(
        f"{int(status)} {status.name.lower().replace('_', ' ')}"
        for status in exit_status.ExitStatus
    )
    return f"exit statuses: {listed}"


def _add_command(
    commands: argparse._SubParsersAction,
    name: str,
    help_text: str,
    settings_type: type = operator.OperatorSettings,
) -> argparse.ArgumentParser:
    command_parser = commands.add_parser(
        name, help=help_text, description=help_text, allow_abbrev=False
    )
    settings_parser.add_settings(command_parser, settings_type)
    return command_parser


def _add_file_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "paths",
        nargs="+",
        metavar="PATH",
        help="declaration file (.yaml, .yml, .toml) or directory of such files",
    )
    parser.add_argument(
        "--keep-undeclared",
        action="store_true",
        help="keep entries that the files do not declare",
    )


def _add_diff(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(
        commands, "diff", "shows what the declarations would change"
    )
    _add_file_arguments(parser)
    parser.add_argument(
        "--exit-code",
        action="store_true",
        help="exit with status 7 if there are differences",
    )


def _add_apply(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(
        commands, "apply", "submits the declarations as a patch"
    )
    _add_file_arguments(parser)
    parser.add_argument(
        "--base-number",
        type=int,
        metavar="NUMBER",
        help="fail unless this is the current configuration number",
    )
    parser.add_argument(
        "--dry-run",
        action="store_true",
        help="show the changes without applying them",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until in force everywhere and show progress",
    )
    parser.add_argument(
        "--wait-timeout-s",
        type=float,
        default=_WAIT_TIMEOUT_S,
        metavar="S",
        help="maximum time to wait, in seconds; default: %(default)s",
    )


def _add_get(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(commands, "get", "shows the configuration")
    parser.add_argument("kind", nargs="?", help="show only this kind")
    parser.add_argument(
        "name", nargs="?", help="show only this entry of the kind"
    )


def _add_watch(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(
        commands, "watch", "shows each patch as it is accepted"
    )
    parser.add_argument(
        "--until",
        type=int,
        metavar="NUMBER",
        help="exit once this configuration number is current",
    )


def _add_explain(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(
        commands,
        EXPLAIN_COMMAND,
        "shows where an entry gateway would send a request, and why",
        explain.ExplainSettings,
    )
    parser.add_argument("host", metavar="HOST", help="host of the request")
    parser.add_argument("path", metavar="PATH", help="path of the request")
    parser.add_argument(
        "--prompt-tokens",
        type=_count,
        metavar="TOKENS",
        help="length of the prompt, in tokens",
    )
    parser.add_argument(
        "--output-tokens",
        type=_count,
        metavar="TOKENS",
        help="length of the output, in tokens",
    )


def _count(text: str) -> int:
    """Converts an argument that must not be negative."""
    try:
        return untrusted.from_builtins(numbers.parse_count(text), fields.Count)
    except errors.UndecodableError as error:
        raise argparse.ArgumentTypeError(
            "allowed: a number that is not negative"
        ) from error
