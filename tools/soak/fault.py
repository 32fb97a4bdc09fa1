"""Faults that a trial selects from."""

import enum


class Fault(enum.Enum):
    """One fault, which is over when the injector returns."""

    GATEWAY_KILLED = "gateway-killed"
    GATEWAY_RESTARTED = "gateway-restarted"
    GATEWAY_PAUSED = "gateway-paused"
    GATEWAY_RELOADED = "gateway-reloaded"
    STORE_BUSY = "store-busy"
    STORE_SILENT = "store-silent"
    STORE_CUT_OFF = "store-cut-off"
    HISTORY_LOST = "history-lost"
    CONFIGURATION_CHANGED = "configuration-changed"
    ENDPOINT_KILLED = "endpoint-killed"
    ENDPOINT_PAUSED = "endpoint-paused"
    ENDPOINT_DRAINED = "endpoint-drained"
    LINK_STALLED = "link-stalled"
    LINK_SILENCED = "link-silenced"
    STORE_RESTORED = "store-restored"
    ENDPOINT_ANNOUNCES_LEAVING = "endpoint-announces-leaving"
    ENDPOINT_STATES_LIMIT = "endpoint-states-limit"
    ENDPOINT_ASKS_FOR_PAUSE = "endpoint-asks-for-pause"
    POISON_PROMPTS_SENT = "poison-prompts-sent"
    UNREADABLE_ENTRY_WRITTEN = "unreadable-entry-written"
    SETTINGS_CUT_AND_RELOADED = "settings-cut-and-reloaded"
    SETTINGS_CUT_AND_RESTARTED = "settings-cut-and-restarted"
    PORT_TAKEN_AT_RESTART = "port-taken-at-restart"
    LARGE_BODIES_SENT = "large-bodies-sent"
    LOAD_STATED = "load-stated"
    ZONE_EVACUATED = "zone-evacuated"
    ENDPOINT_BECOMES_COLD = "endpoint-becomes-cold"
    COORDINATOR_KILLED = "coordinator-killed"


# Drawn from a random stream of their own, so that the faults which a seed
# draws from the others stay the same.
SEPARATE_FAULTS = (
    Fault.LOAD_STATED,
    Fault.ZONE_EVACUATED,
    Fault.ENDPOINT_BECOMES_COLD,
    Fault.COORDINATOR_KILLED,
)
COMMON_FAULTS = tuple(item for item in Fault if item not in SEPARATE_FAULTS)
