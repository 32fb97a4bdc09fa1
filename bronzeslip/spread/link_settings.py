"""Heartbeats of the connections between relays and followers."""

import dataclasses
from typing import TypeVar

from bronzeslip.settings import common

_MAX_MISSED_HEARTBEATS = 2.5

SettingsT = TypeVar("SettingsT", bound=common.CommonSettings)


def for_follower(settings: SettingsT) -> SettingsT:
    """Returns the settings of a follower's end of a connection."""
    return dataclasses.replace(
        settings,
        heartbeat_interval_s=settings.follower_heartbeat_interval_s,
        peer_silence_timeout_s=settings.relay_silence_timeout_s,
    )


def for_relay(settings: SettingsT) -> SettingsT:
    """Returns the settings of a relay's end of a connection.

    A relay gives a follower up late, as only the status depends on it.
    """
    return dataclasses.replace(
        settings,
        heartbeat_interval_s=settings.relay_heartbeat_interval_s,
        peer_silence_timeout_s=(
            settings.follower_heartbeat_interval_s * _MAX_MISSED_HEARTBEATS
        ),
    )
