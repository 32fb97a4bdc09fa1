"""Decision whether a response belongs to a request.

An endpoint may send a second response to an earlier request, at any moment. It
is then read in place of the response to the next request on the connection.
"""

import enum

from bronzeslip import ids

_SEPARATOR = ","


class ResponseMatch(enum.Enum):
    """Relation of a response to the request that awaits one."""

    OWN = "own"
    # The response names another request.
    FOREIGN = "foreign"
    # The response names no request and follows others on its connection.
    UNNAMED = "unnamed"
    # What the response names can't be an earlier request on its connection.
    UNKNOWN = "unknown"


def match(
    request_id: ids.RequestId,
    echoed_request_id: str | None,
    response_number: int,
) -> ResponseMatch:
    """Returns how a response relates to a request.

    Args:
        request_id: Id of the request.
        echoed_request_id: Request ids that the response states, separated by
            commas, or None.
        response_number: Number of the response on its connection, from 1.
    """
    is_first = response_number == 1
    if echoed_request_id is None:
        # Endpoints name no request in responses to malformed ones.
        return ResponseMatch.OWN if is_first else ResponseMatch.UNNAMED
    if echoed_request_id == request_id:
        return ResponseMatch.OWN
    names_one = echoed_request_id and _SEPARATOR not in echoed_request_id
    if is_first or not names_one:
        return ResponseMatch.UNKNOWN
    return ResponseMatch.FOREIGN
