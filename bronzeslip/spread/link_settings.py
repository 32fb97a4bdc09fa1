"""Heartbeat settings of connections between relays and followers."""

import dataclasses
from typing import TypeVar

from bronzeslip.settings import common

# Silence timeout of a follower, in heartbeat intervals.
_FOLLOWER_TIMEOUT_HEARTBEATS = 2.5

SettingsT = TypeVar("SettingsT", bound=common.CommonSettings)


def for_follower(settings: SettingsT) -> SettingsT:
    """Returns the settings for a follower's side of a connection."""
    return dataclasses.replace(
        settings,
        heartbeat_interval_s=settings.follower_heartbeat_interval_s,
        peer_silence_timeout_s=settings.relay_silence_timeout_s,
    )


def for_relay(settings: SettingsT) -> SettingsT:
    """Returns the settings for a relay's side of a connection.

    The silence timeout for followers is long because only the configuration
    status depends on the detection of a lost follower.
    """
    return dataclasses.replace(
        settings,
        heartbeat_interval_s=settings.relay_heartbeat_interval_s,
        peer_silence_timeout_s=(
            settings.follower_heartbeat_interval_s
            * _FOLLOWER_TIMEOUT_HEARTBEATS
        ),
    )
