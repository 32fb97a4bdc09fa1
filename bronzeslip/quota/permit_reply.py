"""Reply to a request for a permit."""

import msgspec

from bronzeslip.decoding import fields
from bronzeslip.quota import permit_verdict


class PermitReply(msgspec.Struct, frozen=True):
    """Reply of a coordinator.

    Attributes:
        verdict: Whether the request may be sent.
        retry_after_s: Time until a permit may be available if it was denied,
            in seconds.
        rate_per_s: Latest limit known to the coordinator, in requests per
            second, or None if the endpoint no longer states one.
        statement_age_s: Age of that knowledge, in seconds.
    """

    verdict: permit_verdict.PermitVerdict
    retry_after_s: fields.Quantity = 0.0
    rate_per_s: fields.Quantity | None = None
    statement_age_s: fields.Quantity = 0.0
