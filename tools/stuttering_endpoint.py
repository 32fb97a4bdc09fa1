"""An endpoint as a process that sends more than one response to a request."""

import httpx
import msgspec

from standins.stuttering import connection
from standins.stuttering import sent_response
from tools import entry_endpoint

_TIMEOUT_S = 20.0


class StutteringEndpoint(entry_endpoint.EntryEndpoint):
    """An endpoint that gateways connect to directly."""

    def __init__(
        self, endpoint_id: str, service: str, seed: str, zone: str = "a-1"
    ) -> None:
        """Starts the process.

        Args:
            endpoint_id: Id under which the endpoint registers.
            service: Service of the endpoint.
            seed: Seed of its responses.
            zone: Failure domain of the endpoint.
        """
        self._seed = seed
        super().__init__(endpoint_id, service, is_proxied=False, zone=zone)

    def sent_responses(self) -> list[sent_response.SentResponse]:
        """Fetches the responses that the process has sent."""
        response = httpx.get(
            f"{self.process.http_url()}{connection.RESPONSES_PATH}",
            timeout=_TIMEOUT_S,
        )
        return msgspec.json.decode(
            response.content, type=list[sent_response.SentResponse]
        )

    def _module_and_flags(self) -> list[str]:
        return [
            "standins.stuttering",
            f"--endpoint-id={self.endpoint_id}",
            f"--seed={self._seed}",
        ]
