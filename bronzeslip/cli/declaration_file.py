"""Parsing of a single declaration file."""

from collections.abc import Callable
import pathlib
import tomllib
from typing import Any

import yaml

from bronzeslip.cli import errors


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys and keys that are not strings."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        seen_keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"key {key!r} is not a string",
                    key_node.start_mark,
                )
            if key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {key!r}", key_node.start_mark
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep)


def _parse_yaml(text: str) -> Any:
    return yaml.load(text, _UniqueKeyLoader)


_PARSERS: dict[str, Callable[[str], Any]] = {
    ".yaml": _parse_yaml,
    ".yml": _parse_yaml,
    ".toml": tomllib.loads,
}


def is_declaration(path: pathlib.Path) -> bool:
    """Returns whether a path has the suffix of a declaration file."""
    return path.suffix in _PARSERS


def read(path: pathlib.Path) -> dict[str, Any]:
    """Parses a declaration file into declarations by kind.

    The contents of a kind are not checked. An empty file gives no kinds.

    Raises:
        errors.InvalidDeclarationError: If the file cannot be parsed; the
            message names the file and the reason.
    """
    parse = _PARSERS.get(path.suffix)
    if parse is None:
        allowed = ", ".join(_PARSERS)
        raise errors.InvalidDeclarationError(
            f"{path}: the file name must end in one of {allowed}"
        )
    try:
        content = parse(path.read_text("utf-8"))
    except (OSError, ValueError, yaml.YAMLError, RecursionError) as error:
        raise errors.InvalidDeclarationError(
            f"{path}: {_one_line_message(error)}"
        ) from error
    if content is None:
        return {}
    if not isinstance(content, dict):
        raise errors.InvalidDeclarationError(
            f"{path}: the top level must be a mapping of kinds"
        )
    return content


def _one_line_message(error: Exception) -> str:
    if isinstance(error, OSError):
        return error.strerror or type(error).__name__
    mark = getattr(error, "problem_mark", None)
    if mark is None:
        return " ".join(str(error).split())
    return f"line {mark.line + 1}, column {mark.column + 1}: {error.problem}"
