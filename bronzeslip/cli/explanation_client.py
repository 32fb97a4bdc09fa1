"""HTTP client of the explanations of entry gateways."""

import httpx
import msgspec

from bronzeslip.cli import errors
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.explanation import explanation
from bronzeslip.explanation import explanation_request
from bronzeslip.http import bounded_exchange
from bronzeslip.settings import explain

_MAX_BODY_BYTES = 16 * 1024 * 1024


class ExplanationClient:
    """Asks one entry gateway at its peer address."""

    def __init__(
        self,
        settings: explain.ExplainSettings,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client.

        Args:
            settings: Address of the gateway and timeout.
            transport: HTTP transport to use instead of the network, or None.
        """
        self._address = settings.peer_address
        self._timeout_s = settings.request_timeout_s
        self._http = httpx.AsyncClient(
            transport=transport,
            timeout=settings.request_timeout_s,
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def explain(
        self, request: explanation_request.ExplanationRequest
    ) -> explanation.Explanation:
        """Asks where a request would go.

        Raises:
            errors.UnreachableError: If the gateway does not respond.
            errors.CommandError: If it gives no explanation.
        """
        try:
            response = await bounded_exchange.request(
                self._http,
                "POST",
                f"http://{self._address}/explanations",
                self._timeout_s,
                _MAX_BODY_BYTES,
                content=msgspec.json.encode(request),
                headers={
                    "Accept-Encoding": "identity",
                    "Content-Type": "application/json",
                },
            )
        except httpx.HTTPError as error:
            raise errors.UnreachableError(
                f"{self._address}: {type(error).__name__}"
            ) from error
        if response.status_code == httpx.codes.NOT_FOUND:
            raise errors.CommandError(
                f"{self._address}: status 404; the address must be the peer "
                "port of an entry gateway that knows explanations"
            )
        if response.status_code != httpx.codes.OK:
            raise errors.CommandError(
                f"{self._address}: status {response.status_code}"
            )
        try:
            return untrusted.from_json(
                response.content, explanation.Explanation
            )
        except decoding_errors.UndecodableError as error:
            raise errors.CommandError(
                f"invalid response from the gateway: {error.message}"
            ) from error
