"""Difference between two configurations."""

from collections.abc import Iterator
import enum
from typing import Any

import json_merge_patch
import msgspec

from bronzeslip.configuration import document

_ABSENT = msgspec.UNSET


class ChangeKind(enum.Enum):
    """Kind of change of a field."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """A field that differs between two configurations.

    Attributes:
        kind: Kind of change.
        path: Dotted path of kind, name and field.
        before: Current value.
        after: Declared value.
    """

    kind: ChangeKind
    path: str
    before: Any = _ABSENT
    after: Any = _ABSENT


class Difference(msgspec.Struct, frozen=True):
    """Difference between the current and the declared configuration.

    Attributes:
        patch: RFC 7396 merge patch.
        changes: Fields that differ, in order of their paths.
    """

    patch: dict[str, Any]
    changes: tuple[Change, ...]


def compute(
    current: document.Document, declared: document.Document
) -> Difference:
    """Computes the difference from one document to another."""
    before, after = to_tree(current), to_tree(declared)
    patch = json_merge_patch.create_patch(before, after)
    return Difference(patch, tuple(_changes("", before, after)))


def with_undeclared(
    current: document.Document, declared: document.Document
) -> document.Document:
    """Adds the entries that only the current document has."""
    merged = {
        field.name: {
            **getattr(current, field.name),
            **getattr(declared, field.name),
        }
        for field in msgspec.structs.fields(document.Document)
    }
    return document.Document(**merged)


def to_tree(source: document.Document) -> dict[str, Any]:
    """Converts a document into plain values without fields that are None."""
    return _without_none(document.to_tree(source))


def _without_none(value: Any) -> Any:
    if not isinstance(value, dict):
        return list(value) if isinstance(value, tuple) else value
    return {
        key: _without_none(inner)
        for key, inner in value.items()
        if inner is not None
    }


def _changes(path: str, before: Any, after: Any) -> Iterator[Change]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _changes(
                f"{path}.{key}" if path else key,
                before.get(key, _ABSENT),
                after.get(key, _ABSENT),
            )
    elif before is _ABSENT:
        yield Change(ChangeKind.ADDED, path, after=after)
    elif after is _ABSENT:
        yield Change(ChangeKind.REMOVED, path, before=before)
    else:
        yield Change(ChangeKind.CHANGED, path, before, after)
