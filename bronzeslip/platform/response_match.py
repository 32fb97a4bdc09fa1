"""Decision whether a response belongs to a request.

An endpoint may send a second response to an earlier request, at any moment. It
is then read in place of the response to the next request on the connection.
"""

from collections.abc import Container
import enum

from bronzeslip import ids


class ResponseMatch(enum.Enum):
    """Relation of a response to the request that awaits one."""

    OWN = "own"
    # The response names another request.
    FOREIGN = "foreign"
    # The response names no request and follows others on its connection.
    UNNAMED = "unnamed"
    # The response names no request that its connection has carried.
    UNKNOWN = "unknown"


def match(
    request_id: ids.RequestId,
    echoed_request_id: str | None,
    response_number: int,
    earlier_ids: Container[str],
) -> ResponseMatch:
    """Returns how a response relates to a request.

    Args:
        request_id: Id of the request.
        echoed_request_id: Request ids that the response states, separated by
            commas, or None.
        response_number: Number of the response on its connection, from 1.
        earlier_ids: Requests that the connection has carried.
    """
    if echoed_request_id is None:
        is_first = response_number == 1
        # Endpoints name no request in responses to malformed ones.
        return ResponseMatch.OWN if is_first else ResponseMatch.UNNAMED
    if echoed_request_id == request_id:
        return ResponseMatch.OWN
    if echoed_request_id in earlier_ids:
        return ResponseMatch.FOREIGN
    return ResponseMatch.UNKNOWN
