"""Checks that callers receive the responses that their endpoints sent."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from standins.stuttering import sent_response
from tools.soak import invariant
from tools.soak import request_result
from tools.soak import violation

# Stamp of all endpoints that record no responses.
_UNRECORDED_STAMP = "stamp"


def check(
    results: Iterable[request_result.RequestResult],
    sent: Sequence[sent_response.SentResponse],
) -> Iterator[violation.Violation]:
    """Returns the results that are not the endpoint's own response.

    Args:
        results: Results of requests.
        sent: Responses that endpoints have recorded.
    """
    sent_by_stamp = {response.stamp: response for response in sent}
    for result in results:
        if result.status is None or result.stamp == _UNRECORDED_STAMP:
            continue
        detail = _difference(result, sent_by_stamp)
        if detail:
            yield violation.Violation(
                invariant.Invariant.OWN_RESPONSE,
                result.request_id,
                f"status {result.status}, stamp {result.stamp!r}: {detail}",
            )


def _difference(
    result: request_result.RequestResult,
    sent_by_stamp: Mapping[str, sent_response.SentResponse],
) -> str:
    """Returns what differs from the response that was sent, or empty."""
    if not result.stamp:
        return "a success without a stamp" if result.is_success else ""
    sent = sent_by_stamp.get(result.stamp)
    if sent is None:
        return "no endpoint has sent this stamp"
    if sent.request_id != result.request_id:
        return f"sent for request {sent.request_id}"
    if sent.status != result.status:
        return f"sent with status {sent.status}"
    if not sent.body.startswith(result.body):
        return f"other body {result.body[:80]!r}"
    if result.is_complete and len(result.body) < len(sent.body):
        return f"{len(result.body)} of {len(sent.body)} bytes as a whole"
    return ""
