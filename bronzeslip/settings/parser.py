"""Parser that reads settings from flags and the environment."""

import argparse
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import sys
import typing
from typing import NoReturn
from typing import TypeVar

from bronzeslip.settings import convert
from bronzeslip.settings import errors
from bronzeslip.settings import setting

ENVIRONMENT_PREFIX = "BRONZESLIP_"
USAGE_EXIT_STATUS = 2

SettingsT = TypeVar("SettingsT")


class _ArgumentParser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise errors.SettingsError(message)


def flag_of(field: dataclasses.Field) -> str:
    """Returns the command line flag of a settings field."""
    return "--" + field.name.replace("_", "-")


def variable_of(field: dataclasses.Field) -> str:
    """Returns the environment variable of a settings field."""
    return ENVIRONMENT_PREFIX + field.name.upper()


def build(
    settings_type: type, program: str, description: str
) -> argparse.ArgumentParser:
    """Builds the argument parser of a settings class."""
    parser = _ArgumentParser(
        prog=program, description=description, allow_abbrev=False
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings and exit",
    )
    groups: dict[str, argparse._ArgumentGroup] = {}
    for field in dataclasses.fields(settings_type):
        details = setting.details_of(field)
        if details.group not in groups:
            groups[details.group] = parser.add_argument_group(details.group)
        groups[details.group].add_argument(
            flag_of(field),
            default=None,
            metavar=field.name.rsplit("_", 1)[-1].upper(),
            help=f"{details.help} [{variable_of(field)}]".replace("%", "%%"),
        )
    return parser


def parse(
    settings_type: type[SettingsT],
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> SettingsT:
    """Converts parsed flags and the environment into settings.

    Args:
        settings_type: Settings dataclass to build.
        arguments: What argparse read; a flag goes before its variable.
        environment: Environment variables.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsError: If a setting is missing or not allowed.
    """
    hints = typing.get_type_hints(settings_type)
    values = {}
    for field in dataclasses.fields(settings_type):
        details = setting.details_of(field)
        text = getattr(arguments, field.name)
        if text is None:
            text = environment.get(variable_of(field))
        if text is not None:
            values[field.name] = convert.convert(
                flag_of(field), text, hints[field.name], details
            )
        elif field.default is dataclasses.MISSING:
            raise errors.SettingsError(
                f"{flag_of(field)}: missing; allowed: "
                f"{convert.allowed_values(hints[field.name], details)}"
            )
    return settings_type(**values)


def parse_or_exit(
    settings_type: type[SettingsT],
    program: str,
    description: str,
    argv: Sequence[str],
    environment: Mapping[str, str],
) -> SettingsT:
    """Reads the settings of a daemon, or exits with status 2."""
    try:
        arguments = build(settings_type, program, description).parse_args(argv)
        settings = parse(settings_type, arguments, environment)
    except errors.SettingsError as error:
        print(f"{program}: {error.message}", file=sys.stderr)
        sys.exit(USAGE_EXIT_STATUS)
    if arguments.check_settings:
        print(f"{program}: settings are valid")
        sys.exit(0)
    return settings
