"""Responses that one endpoint has sent."""

from standins.stuttering import response_kind
from standins.stuttering import sent_response


class ResponseLog:
    """Stamps and records responses.

    Attributes:
        endpoint_id: Id of the endpoint.
        responses: All responses, in the order in which they were sent.
    """

    def __init__(self, endpoint_id: str) -> None:
        """Creates an empty log.

        Args:
            endpoint_id: Id of the endpoint.
        """
        self.endpoint_id = endpoint_id
        self.responses: list[sent_response.SentResponse] = []

    def add(
        self, request_id: str, kind: response_kind.ResponseKind, body: bytes
    ) -> sent_response.SentResponse:
        """Records a response and returns it with its stamp."""
        response = sent_response.SentResponse(
            request_id,
            kind.status,
            f"{self.endpoint_id}.{len(self.responses)}",
            body,
            kind.has_run,
        )
        self.responses.append(response)
        return response
