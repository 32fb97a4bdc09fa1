"""Generates the settings reference page from the settings classes."""

import argparse
import dataclasses
import pathlib
import typing

from bronzeslip.settings import convert
from bronzeslip.settings import parser as settings_parser
from bronzeslip.settings import programs
from bronzeslip.settings import setting

PAGE = pathlib.Path(__file__).parent.parent / "docs/reference/settings.md"
_INTRODUCTION = """\
# Settings

Written by `python -m tools.settings_reference`; a test compares the two.

Every setting is a flag and an environment variable; a flag goes before its
variable. A wrong setting gives one line that names the flag, the value and
what is allowed, and exit status 2. The daemons take `--check-settings`, which
only checks. Secret values are never shown; give them by variable, so that
they do not stand in a list of processes.
"""
_HEADER = """
| flag | variable | meaning | allowed | default |
| --- | --- | --- | --- | --- |
"""


def render() -> str:
    """Renders the page."""
    sections = [
        f"\n## {program}\n{_table(settings_type)}"
        for program, settings_type in programs.SETTINGS_BY_PROGRAM.items()
    ]
    return _INTRODUCTION + "".join(sections)


def _table(settings_type: type) -> str:
    hints = typing.get_type_hints(settings_type)
    groups: dict[str, list[str]] = {}
    for field in dataclasses.fields(settings_type):
        declaration = setting.declaration_of(field)
        row = _row(field, declaration, hints[field.name])
        groups.setdefault(declaration.group, []).append(row)
    return "".join(
        f"\n### {group.capitalize()}\n{_HEADER}" + "".join(rows)
        for group, rows in groups.items()
    )


def _row(
    field: dataclasses.Field, declaration: setting.Setting, hint: type
) -> str:
    flag = f"`{settings_parser.flag_name(field)}`"
    cells = (
        "" if declaration.environment_only else flag,
        f"`{settings_parser.variable_name(field)}`",
        declaration.help + (" (secret)" if declaration.secret else ""),
        convert.allowed_values(hint, declaration),
        convert.default_text(field).removeprefix("default: "),
    )
    return f"| {' | '.join(cells)} |\n"


def main() -> None:
    """Writes the page."""
    argparse.ArgumentParser(prog="settings_reference").parse_args()
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text(render())


if __name__ == "__main__":
    main()
