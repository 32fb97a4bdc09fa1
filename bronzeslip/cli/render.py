"""Rendering of command results as text."""

import datetime
import functools
from typing import Any

import msgspec
import yaml

from bronzeslip.cli import difference
from bronzeslip.cli import explanation_table
from bronzeslip.cli import results
from bronzeslip.explanation import explanation
from bronzeslip.spread import status

_SIGNS = {
    difference.ChangeKind.ADDED: "+",
    difference.ChangeKind.REMOVED: "-",
    difference.ChangeKind.CHANGED: "~",
}


@functools.singledispatch
def to_text(result: Any) -> str:
    """Renders a result as human-readable text."""
    raise TypeError(type(result).__name__)


@to_text.register
def _(result: results.DiffResult) -> str:
    if not result.changes:
        return f"no changes against number {result.number}"
    header = f"against number {result.number}:"
    patch = "merge patch: " + _json(result.patch)
    return "\n".join([header, _change_lines(result.changes), patch])


@to_text.register
def _(result: results.ApplyResult) -> str:
    if not result.changes:
        return f"no changes; number {result.number} matches the declarations"
    lines = _change_lines(result.changes)
    if not result.applied:
        return f"{lines}\nnot applied, against number {result.base_number}"
    return f"{lines}\napplied as number {result.number}"


@to_text.register
def _(result: results.GetResult) -> str:
    value_yaml = yaml.safe_dump(result.value, sort_keys=False).rstrip()
    return f"# number {result.number}\n{value_yaml}"


@to_text.register
def _(result: results.HistoryResult) -> str:
    lines = []
    for entry in result.patches:
        accepted_at = datetime.datetime.fromtimestamp(
            entry.accepted_at_unix_s, datetime.UTC
        )
        patch = "(too large)" if entry.patch is None else _json(entry.patch)
        lines.append(
            f"{entry.number}  {accepted_at.isoformat(timespec='seconds')}  "
            f"{entry.operator}  {patch}"
        )
    return "\n".join(lines) or "no patches yet"


@to_text.register
def _(result: status.SpreadStatus) -> str:
    extent = "everywhere" if result.in_force_everywhere else "not everywhere"
    lines = [f"number {result.number}, in force {extent}"]
    for domain in result.domains:
        numbers = ", ".join(
            f"{count} at {number}" for number, count in domain.numbers.items()
        )
        lagging = " ".join(domain.lagging)
        suffix = f"; lagging: {lagging}" if lagging else ""
        if domain.unreported:
            suffix = f", {domain.unreported} unreported{suffix}"
        lines.append(f"{domain.failure_domain}: {numbers}{suffix}")
    return "\n".join(lines)


@to_text.register
def _(result: results.DigestResult) -> str:
    return result.sha256


@to_text.register
def _(result: explanation.Explanation) -> str:
    return explanation_table.to_text(result)


def _change_lines(changes: tuple[difference.Change, ...]) -> str:
    return "\n".join(_change_line(change) for change in changes)


def _change_line(change: difference.Change) -> str:
    sign = _SIGNS[change.kind]
    if change.kind is difference.ChangeKind.CHANGED:
        values = f"{_json(change.before)} -> {_json(change.after)}"
    elif change.kind is difference.ChangeKind.ADDED:
        values = _json(change.after)
    else:
        values = _json(change.before)
    return f"{sign} {change.path}: {values}"


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
