"""Reason for choosing an endpoint without the coordinator."""

import enum


class LocalReason(enum.Enum):
    """Why a gateway did not use a placement.

    Attributes:
        NO_REPLY: Neither the coordinator nor its fallback decided.
        INVALID_REPLY: The reply named no endpoint, or one that was excluded.
        UNKNOWN_ENDPOINT: This gateway does not know the incarnation.
        UNUSABLE_ENDPOINT: This gateway must not or can't use the endpoint.
        NO_CONNECTION: This gateway has no connection to the endpoint left.
        HELD_TOO_LONG: Replies deferred it for as long as its client waits.
        SENT_BEFORE: The coordinator refused a request that may have run.
    """

    NO_REPLY = "no-reply"
    INVALID_REPLY = "invalid-reply"
    UNKNOWN_ENDPOINT = "unknown-endpoint"
    UNUSABLE_ENDPOINT = "unusable-endpoint"
    NO_CONNECTION = "no-connection"
    HELD_TOO_LONG = "held-too-long"
    SENT_BEFORE = "sent-before"
