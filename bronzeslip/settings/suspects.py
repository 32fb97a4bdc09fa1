"""Setting shared by the gateways for requests suspected of causing crashes."""

from typing import Any

from bronzeslip.settings.setting import setting


def suspect_ttl_setting() -> Any:
    """Declares the field suspect_ttl_s, which both kinds of gateway have."""
    return setting(
        "time for which a request running at a crash stays suspect, in seconds",
        "routing",
        default=1800.0,
        minimum=1,
        maximum=604_800,
    )
