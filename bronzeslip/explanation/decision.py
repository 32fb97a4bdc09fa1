"""Decision that a gateway would take on a request."""

import msgspec

from bronzeslip import ids
from bronzeslip.explanation import verdict


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Decision that a gateway would take on a request.

    Attributes:
        verdict: What it would do.
        endpoint_id: Endpoint that it would prefer itself, also where it asks a
            coordinator first; None if it would refuse the request. The endpoint
            sent to may be another one, since endpoints of nearly equal cost are
            selected at random.
        status: HTTP status of a refusal, or None. With `ASK_COORDINATOR`, the
            refusal applies if no coordinator replies.
        code: Code of a refusal, or None.
        reason: Reason for a refusal, or None.
        retry_after_s: Time after which a refused request may be sent again, in
            seconds, or None.
    """

    verdict: verdict.Verdict
    endpoint_id: ids.EndpointId | None = None
    status: int | None = None
    code: str | None = None
    reason: str | None = None
    retry_after_s: float | None = None
