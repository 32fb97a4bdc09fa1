"""Decodes the limits on a process that the settings file may state."""

from typing import Any

from bronzeslip import logs
from bronzeslip.entry import vm_config

logger = logs.get_logger(__name__)

_BYTES_PER_MB = 1_000_000
_MAX_VALUE = 1_000_000_000


def decode(table: Any) -> vm_config.ProcessLimits:
    """Decodes a table; what it lacks or can't be read is no limit."""
    if not isinstance(table, dict):
        if table is not None:
            _log_unreadable("limits", table)
        table = {}
    memory_mb = _number(table, "memory_mb")
    descriptors = _number(table, "max_fds")
    return vm_config.ProcessLimits(
        None if memory_mb is None else round(memory_mb * _BYTES_PER_MB),
        None if descriptors is None else round(descriptors),
    )


def _number(table: dict[str, Any], field: str) -> float | None:
    value = table.get(field)
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 1 <= value <= _MAX_VALUE:
        return value
    _log_unreadable(field, value)
    return None


def _log_unreadable(field: str, value: Any) -> None:
    logger.warning(
        "settings.limit_unreadable", field=field, type=type(value).__name__
    )
