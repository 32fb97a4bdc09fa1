"""Reading of operators' declarations from version-controlled files."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import re
import typing
from typing import Any

import msgspec

from bronzeslip.cli import declaration_file
from bronzeslip.cli import errors
from bronzeslip.configuration import document
from bronzeslip.configuration import errors as configuration_errors

_PATH_IN_ERROR = re.compile(r"^(?P<reason>.*?)(?: - at `\$(?P<path>.*)`)?$")


class DeclarationReader:
    """Merges the declarations of several files into one document."""

    def __init__(self) -> None:
        self._entry_types = _entry_types()
        self._tree: dict[str, dict[str, Any]] = {}
        self._sources: dict[str, pathlib.Path] = {}

    def read(self, paths: Iterable[pathlib.Path]) -> document.Document:
        """Reads files and directories.

        Raises:
            errors.InvalidDeclarationError: If a declaration is invalid; the
                message names the file, the field and the reason.
        """
        for path in _list_files(paths):
            for kind, entries in declaration_file.read(path).items():
                self._add_kind(path, kind, entries)
        if not self._tree:
            raise errors.InvalidDeclarationError(
                "the files contain no declarations"
            )
        return self._to_document()

    def _add_kind(self, path: pathlib.Path, kind: str, entries: Any) -> None:
        if kind not in self._entry_types:
            allowed = ", ".join(self._entry_types)
            raise errors.InvalidDeclarationError(
                f"{path}: {kind}: unknown kind; allowed: {allowed}"
            )
        if not isinstance(entries, dict):
            raise errors.InvalidDeclarationError(
                f"{path}: {kind}: must be a mapping from names to entries"
            )
        for name, entry in entries.items():
            self._add_entry(path, kind, name, entry)

    def _add_entry(
        self, path: pathlib.Path, kind: str, name: str, entry: Any
    ) -> None:
        field = f"{kind}.{name}"
        if field in self._sources:
            raise errors.InvalidDeclarationError(
                f"{path}: {field}: already declared in {self._sources[field]}"
            )
        try:
            msgspec.convert(entry, self._entry_types[kind])
        except msgspec.ValidationError as error:
            raise errors.InvalidDeclarationError(
                f"{path}: {_describe_field_error(field, error)}"
            ) from error
        self._sources[field] = path
        self._tree.setdefault(kind, {})[name] = entry

    def _to_document(self) -> document.Document:
        try:
            return document.parse(self._tree)
        except configuration_errors.InvalidDocumentError as error:
            source = self._source_of(error.message)
            prefix = f"{source}: " if source else ""
            raise errors.InvalidDeclarationError(
                prefix + error.message
            ) from error

    def _source_of(self, message: str) -> pathlib.Path | None:
        fields = [
            field
            for field in self._sources
            if message.startswith((f"{field}.", f"{field}:"))
        ]
        return self._sources[max(fields, key=len)] if fields else None


def read(paths: Iterable[pathlib.Path]) -> document.Document:
    """Reads the declarations in files and directories."""
    return DeclarationReader().read(paths)


def _entry_types() -> dict[str, type]:
    fields = msgspec.structs.fields(document.Document)
    return {field.name: typing.get_args(field.type)[1] for field in fields}


def _list_files(paths: Iterable[pathlib.Path]) -> Iterator[pathlib.Path]:
    for path in paths:
        if not path.is_dir():
            yield path
            continue
        for file_path in sorted(path.rglob("*")):
            if file_path.is_file() and declaration_file.is_declaration(
                file_path
            ):
                yield file_path


def _describe_field_error(field: str, error: msgspec.ValidationError) -> str:
    matched = _PATH_IN_ERROR.match(str(error))
    return f"{field}{matched['path'] or ''}: {matched['reason']}"
