"""Steps at which a fault is injected."""

import enum


class Step(enum.Enum):
    """A step of a request, a patch, an order or a drain."""

    ACCEPT = "accept"
    CLAIM = "claim"
    DISPATCH = "dispatch"
    FIRST_TOKEN = "first token"
    MIDWAY = "midway"
    LAST_TOKEN = "last token"
    ACKNOWLEDGE = "acknowledge"
    PATCH_READ = "patch read"
    PATCH_WRITE = "patch write"
    PATCH_LOST_ANSWER = "patch lost answer"
    PATCH_SPREAD = "patch spread"
    PATCH_IN_FORCE = "patch in force"
    LEASE = "lease"
    ORDER_SENT = "order sent"
    ORDER_APPLIED = "order applied"
    ORDER_ANSWERED = "order answered"
    DRAIN_BEGIN = "drain begin"
    DRAIN_END = "drain end"
