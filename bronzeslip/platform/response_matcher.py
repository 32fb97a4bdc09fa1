"""Matching of the responses on a connection with the request that was sent."""

import httpcore

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.forwarding import dispatch
from bronzeslip.platform import headers
from bronzeslip.platform import recent_request_ids
from bronzeslip.platform import response_fields
from bronzeslip.platform import response_match

logger = logs.get_logger(__name__)


class ResponseMatcher:
    """Decides which response on a connection is the one to a request.

    Attributes:
        match: Relation of the last response to the request.
        earlier_ids: Requests that the connection has carried.
    """

    def __init__(self, outgoing: dispatch.Dispatch) -> None:
        """Creates a matcher.

        Args:
            outgoing: Request that awaits its response.
        """
        self._outgoing = outgoing
        self.match = response_match.ResponseMatch.UNNAMED
        self.earlier_ids = recent_request_ids.RecentRequestIds()

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self._outgoing.request.request_id

    def is_foreign(self, response: httpcore.Response) -> bool:
        """Returns whether a response is one to another request.

        Args:
            response: Response, whose body need not have been read.
        """
        use = response.extensions["network_stream"].use
        self.match = response_match.match(
            self._outgoing.request.request_id,
            response_fields.text_of(response.headers, headers.REQUEST_ID),
            use.response_count,
            self.earlier_ids,
        )
        if self.match is not response_match.ResponseMatch.OWN:
            logger.warning(
                "endpoint.unmatched_answer",
                request=self._outgoing.request.request_id,
                endpoint=self._outgoing.endpoint.endpoint_id,
                match=self.match.value,
                echoed=response_fields.text_of(
                    response.headers, headers.REQUEST_ID
                ),
                status=response.status,
                stamp=response_fields.text_of(
                    response.headers, headers.RESPONSE_STAMP
                ),
                connection=use.number,
                response=use.response_count,
            )
        return self.match is response_match.ResponseMatch.FOREIGN
