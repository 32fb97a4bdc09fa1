"""Faults of the fault matrix."""

import enum


class Fault(enum.Enum):
    """A fault that is injected at a step."""

    NONE = "none"
    KILL_CALLER = "kill caller"
    FREEZE_CALLER = "freeze caller"
    KILL_GATEWAY = "kill gateway"
    FREEZE_GATEWAY = "freeze gateway"
    KILL_SIDECAR = "kill sidecar"
    FREEZE_SIDECAR = "freeze sidecar"
    KILL_ENDPOINT = "kill endpoint"
    FREEZE_ENDPOINT = "freeze endpoint"
    KILL_RELAY = "kill relay"
    RECLAIM = "reclaim"
    LINK_STALLED = "link stalled"
    LINK_SILENT = "link silent for good"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_LOST_ANSWER = "effect then lost answer"
    LEASE_LAPSE = "lease lapsed while paused"
    OPERATOR_RACE = "operator race"
    CRASHING_REQUEST = "crashing request sent again"
