"""Parsing of settings from flags and environment variables."""

import argparse
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import sys
import typing
from typing import Any
from typing import NoReturn
from typing import TypeVar

from bronzeslip.settings import convert
from bronzeslip.settings import errors
from bronzeslip.settings import programs
from bronzeslip.settings import setting

ENVIRONMENT_PREFIX = "BRONZESLIP_"
USAGE_EXIT_STATUS = 2

SettingsT = TypeVar("SettingsT")


class SettingsParser(argparse.ArgumentParser):
    """Argument parser that raises an error instead of exiting."""

    def error(self, message: str) -> NoReturn:
        """Reports an invalid command line.

        Raises:
            errors.SettingsError: Always.
        """
        raise errors.SettingsError(message)

    def parse_args(
        self,
        args: Sequence[str] | None = None,
        namespace: argparse.Namespace | None = None,
    ) -> argparse.Namespace:
        """Parses a command line.

        Errors name an unknown flag without its value, which may be secret.
        """
        parsed, unknown = self.parse_known_args(args, namespace)
        if unknown:
            flags = [word for word in unknown if word.startswith("-")]
            if not flags:
                self.error("unexpected argument; see --help")
            self.error(f"{flags[0].split('=')[0]}: no such flag; see --help")
        return parsed


def flag_name(field: dataclasses.Field) -> str:
    """Returns the command-line flag of a settings field."""
    return "--" + field.name.replace("_", "-")


def variable_name(field: dataclasses.Field) -> str:
    """Returns the environment variable of a settings field."""
    return ENVIRONMENT_PREFIX + field.name.upper()


def add_settings(parser: argparse.ArgumentParser, settings_type: type) -> None:
    """Adds the flags of a settings class to a parser, in groups."""
    hints = typing.get_type_hints(settings_type)
    groups: dict[str, argparse._ArgumentGroup] = {}
    for field in dataclasses.fields(settings_type):
        declaration = setting.declaration_of(field)
        if declaration.environment_only:
            continue
        if declaration.group not in groups:
            groups[declaration.group] = parser.add_argument_group(
                declaration.group
            )
        groups[declaration.group].add_argument(
            flag_name(field),
            default=None,
            metavar=field.name.rsplit("_", 1)[-1].upper(),
            help=_help_text(field, hints[field.name]).replace("%", "%%"),
        )


def build_parser(
    settings_type: type, program: str, description: str
) -> argparse.ArgumentParser:
    """Builds a daemon's argument parser from its settings class."""
    parser = SettingsParser(
        prog=program, description=description, allow_abbrev=False
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings and exit",
    )
    add_settings(parser, settings_type)
    return parser


def parse(
    settings_type: type[SettingsT],
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> SettingsT:
    """Converts parsed flags and the environment into settings.

    Args:
        settings_type: Settings dataclass to create.
        arguments: Parsed flags; a flag takes precedence over its variable.
        environment: Environment variables.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: If a setting is missing, unknown or invalid.
    """
    _reject_unknown_variables(environment)
    hints = typing.get_type_hints(settings_type)
    values = {}
    for field in dataclasses.fields(settings_type):
        declaration = setting.declaration_of(field)
        name_and_text = _find_value(field, arguments, environment)
        if name_and_text is not None:
            name, text = name_and_text
            values[field.name] = convert.convert(
                name, text, hints[field.name], declaration
            )
        elif field.default is dataclasses.MISSING:
            raise errors.SettingsError(
                f"{_display_name(field)}: missing; allowed: "
                f"{convert.allowed_values(hints[field.name], declaration)}"
            )
    settings = settings_type(**values)
    check = getattr(settings, "check", None)
    if check is not None:
        check()
    return settings


def parse_or_exit(
    settings_type: type[SettingsT],
    program: str,
    description: str,
    argv: Sequence[str],
    environment: Mapping[str, str],
) -> SettingsT:
    """Reads the settings of a daemon.

    Exits with status 2 if they are invalid, and with status 0 after
    --check-settings.
    """
    try:
        arguments = build_parser(
            settings_type, program, description
        ).parse_args(argv)
        settings = parse(settings_type, arguments, environment)
    except errors.SettingsError as error:
        print(f"{program}: {error.message}", file=sys.stderr)
        sys.exit(USAGE_EXIT_STATUS)
    if arguments.check_settings:
        print(f"{program}: settings are valid")
        sys.exit(0)
    return settings


def _reject_unknown_variables(environment: Mapping[str, str]) -> None:
    """Rejects variables with the prefix that no program reads."""
    known_variables = {
        variable_name(field)
        for settings_type in programs.SETTINGS_BY_PROGRAM.values()
        for field in dataclasses.fields(settings_type)
    }
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known_variables:
            raise errors.SettingsError(f"{name}: no such setting; see --help")


def _display_name(field: dataclasses.Field) -> str:
    if setting.declaration_of(field).environment_only:
        return variable_name(field)
    return flag_name(field)


def _find_value(
    field: dataclasses.Field,
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> tuple[str, str] | None:
    text = getattr(arguments, field.name, None)
    if text is not None:
        return flag_name(field), text
    variable = variable_name(field)
    if variable in environment:
        name = (
            variable
            if setting.declaration_of(field).environment_only
            else f"{flag_name(field)} ({variable})"
        )
        return name, environment[variable]
    return None


def _help_text(field: dataclasses.Field, hint: Any) -> str:
    declaration = setting.declaration_of(field)
    allowed = convert.allowed_values(hint, declaration)
    default = convert.default_text(field)
    return f"{declaration.help}; {allowed}; {default} [{variable_name(field)}]"
