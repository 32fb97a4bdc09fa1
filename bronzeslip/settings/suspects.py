"""Setting of requests that were running at crashes."""

from typing import Any

from bronzeslip.settings.setting import setting


def suspect_ttl_setting() -> Any:
    """Returns the field that both kinds of gateway declare."""
    return setting(
        "time a request that was running at a crash stays suspect, in seconds",
        "routing",
        default=1800.0,
        minimum=1,
        maximum=604_800,
    )
