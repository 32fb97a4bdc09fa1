"""Decodes the bounds that operators set in the settings file."""

import math
from typing import Any

import msgspec

from bronzeslip import logs
from bronzeslip.entry import vm_config

logger = logs.get_logger(__name__)

# Used for bounds that a gateway has never read: it shuts down early, does not
# retry beyond a small share and leaves endpoints at once.
CAUTIOUS_BOUNDS = vm_config.PlaceBounds(
    grace_s=4.0,
    retry_ratio=0.05,
    retry_slack=0.0,
    retry_window_s=10.0,
    drain_s=1.0,
)

_MS_PER_S = 1000


class _Range(msgspec.Struct, frozen=True):
    """Usable values of a bound and their unit.

    Attributes:
        minimum: Smallest usable value.
        maximum: Largest usable value.
        divisor: Number of units of the file in one unit of the bound.
        is_optional: Whether the bound may be missing, which is not logged and
            leads to its default.
        cautious: Bound to use if it is stated, but was never usable.
    """

    minimum: float
    maximum: float = 1e9
    divisor: float = 1.0
    is_optional: bool = False
    cautious: float | None = None


# By the names in the file and of the bounds.
_RANGES = {
    ("grace_s", "grace_s"): _Range(0),
    # Each request earns this many permits, one at a time.
    ("retry_ratio", "retry_ratio"): _Range(0, 100),
    ("retry_slack", "retry_slack"): _Range(0),
    ("retry_window_s", "retry_window_s"): _Range(0.001),
    ("drain_ms", "drain_s"): _Range(1, divisor=_MS_PER_S),
    ("config_ms", "config_s"): _Range(1, divisor=_MS_PER_S, is_optional=True),
    ("contact_ms", "contact_s"): _Range(1, divisor=_MS_PER_S, is_optional=True),
    ("evac_ms", "evac_s"): _Range(
        1, divisor=_MS_PER_S, is_optional=True, cautious=1.0
    ),
    ("cold_over", "cold_over"): _Range(0, is_optional=True),
    ("cold_slack", "cold_slack"): _Range(0, is_optional=True),
}


def decode(
    table: Any, fallback: vm_config.PlaceBounds
) -> vm_config.PlaceBounds:
    """Decodes a table; what it lacks or can't be used is logged.

    Args:
        table: The table.
        fallback: Bounds to keep in place of those that can't be used.
    """
    values = table if isinstance(table, dict) else {}
    bounds = {}
    for (field, name), usable in _RANGES.items():
        value = values.get(field)
        if _is_usable(value, usable):
            bounds[name] = value / usable.divisor
        elif value is None and usable.is_optional:
            bounds[name] = getattr(CAUTIOUS_BOUNDS, name)
        else:
            known = getattr(fallback, name)
            bounds[name] = usable.cautious if known is None else known
            logger.error(
                "settings.bound_unusable",
                field=field,
                type=type(value).__name__,
                used=bounds[name],
            )
    return msgspec.structs.replace(fallback, **bounds)


def _is_usable(value: Any, usable: _Range) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and usable.minimum <= value <= usable.maximum
