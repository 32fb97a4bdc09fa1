"""Invariants that must hold under every fault."""

import enum


class Invariant(enum.Enum):
    """An invariant that callers rely on."""

    AT_MOST_ONCE = "a request that must not repeat runs at most once"
    NOT_RUN_IS_ACCURATE = "a request reported as not run has not run"
    OWN_COMPLETE_RESULT = (
        "a complete response is whole and belongs to its request"
    )
    OWN_RESPONSE = "a response is one that its endpoint sent for the request"
    EVENTS_IN_ORDER = "each event arrives once, in order, from one run"
    ONLY_SENT_REQUESTS = "endpoints run only requests that callers have sent"
    RECOVERS_AFTER_FAULTS = (
        "requests are served again after the faults are over"
    )
    RETRIES_WITHIN_BUDGET = "retries of all gateways stay within the budget"
    NO_WORK_FOR_LEAVING_ENDPOINTS = (
        "an endpoint that says that it leaves receives no new requests"
    )
    POISON_PROMPTS_ARE_REFUSED = (
        "few prompts with a part that crashes engines reach engines"
    )
    LIMITS_ARE_KEPT = (
        "an endpoint that states a limit receives no more requests than that"
    )
    PAUSES_ARE_KEPT = "an endpoint that asks for a pause is left alone"
    REGIONS_ARE_KEPT = "a request reaches only endpoints in its regions"
    EVACUATIONS_ARE_KEPT = "an evacuated failure domain receives no requests"
    COLD_LIMITS_ARE_KEPT = (
        "a cold endpoint receives no more requests than it sustains"
    )
    PROCESSES_KEEP_RUNNING = "no gateway process ends by itself"
    MEMORY_WITHIN_LIMIT = "no gateway process exceeds its memory limit"
