"""HTTP client of the gateways' operator API."""

import asyncio
import getpass
import pathlib
import ssl
from typing import Any
from typing import TypeVar

import httpx
import msgspec
import tenacity

from bronzeslip import ids
from bronzeslip.cli import errors
from bronzeslip.cli import problem
from bronzeslip.configuration import record
from bronzeslip.configuration import store
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.http import bounded_exchange
from bronzeslip.settings import operator
from bronzeslip.spread import status

_CONFIGURATION_PATH = "/v1/configuration"
_PATCHES_PATH = "/v1/configuration/patches"
_STATUS_PATH = "/v1/configuration/status"
_MAX_RETRY_DELAY_S = 5.0
_MAX_BODY_BYTES = 64 * 1024 * 1024

ResponseT = TypeVar("ResponseT")


class PatchAnswer(msgspec.Struct, frozen=True):
    """Response to an accepted patch."""

    number: ids.ConfigurationNumber


class OperatorClient:
    """Sends requests to the gateways in turn until one responds."""

    def __init__(
        self,
        settings: operator.OperatorSettings,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client.

        Args:
            settings: Gateway URLs, credential and retry settings.
            transport: HTTP transport to use instead of the network, or None.

        Raises:
            errors.UsageError: If no credential can be read.
        """
        self._settings = settings
        self._url_index = 0
        self._http = httpx.AsyncClient(
            transport=transport,
            timeout=settings.request_timeout_s,
            verify=_tls_context(settings),
            headers={
                "Accept-Encoding": "identity",
                "Authorization": f"Bearer {_credential(settings)}",
            },
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def read(self) -> record.ConfigurationRecord:
        """Reads the current configuration."""
        return await self._get(_CONFIGURATION_PATH, record.ConfigurationRecord)

    async def status(self) -> status.SpreadStatus:
        """Reads the configuration number in force in each failure domain."""
        return await self._get(_STATUS_PATH, status.SpreadStatus)

    async def submit(
        self, base_number: ids.ConfigurationNumber, patch: Any
    ) -> ids.ConfigurationNumber:
        """Submits a patch; all retries use the same patch id.

        Raises:
            errors.StaleConfigurationError: If another patch was accepted first.
            errors.InvalidDeclarationError: If the patched configuration would
                be invalid.
            errors.OutcomeUnknownError: If no gateway reported the outcome.
        """
        request = store.PatchRequest(
            ids.PatchId(ids.random_id()),
            base_number,
            self._settings.operator or _user_name(),
            patch,
        )
        content = msgspec.json.encode(request)
        try:
            response = await self._send("POST", _PATCHES_PATH, content)
        except errors.UnreachableError as error:
            raise errors.OutcomeUnknownError(
                f"patch {request.patch_id}: {error.message}; it may have been "
                "accepted: run diff, and apply again if it shows changes"
            ) from error
        return _decode(response, PatchAnswer).number

    async def _get(
        self, path: str, response_type: type[ResponseT]
    ) -> ResponseT:
        return _decode(await self._send("GET", path, None), response_type)

    async def _send(
        self, method: str, path: str, content: bytes | None
    ) -> httpx.Response:
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(errors.UnreachableError),
            stop=tenacity.stop_after_attempt(self._settings.attempts),
            wait=tenacity.wait_random_exponential(
                self._settings.retry_delay_s, max=_MAX_RETRY_DELAY_S
            ),
            sleep=asyncio.sleep,
            reraise=True,
        )
        return await retrying(self._send_once, method, path, content)

    async def _send_once(
        self, method: str, path: str, content: bytes | None
    ) -> httpx.Response:
        url = self._settings.gateway_urls[self._url_index]
        try:
            response = await bounded_exchange.request(
                self._http,
                method,
                url.rstrip("/") + path,
                self._settings.request_timeout_s,
                _MAX_BODY_BYTES,
                content=content,
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            self._select_next_gateway()
            raise errors.UnreachableError(
                f"{url}: {type(error).__name__}"
            ) from error
        if response.status_code < httpx.codes.BAD_REQUEST:
            return response
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            self._select_next_gateway()
        raise problem.to_error(url, response)

    def _select_next_gateway(self) -> None:
        self._url_index = (self._url_index + 1) % len(
            self._settings.gateway_urls
        )


def _user_name() -> ids.OperatorName:
    try:
        return ids.OperatorName(getpass.getuser())
    except (KeyError, OSError):
        return ids.OperatorName("unknown")


def _credential(settings: operator.OperatorSettings) -> str:
    if settings.credential:
        return settings.credential
    if settings.credential_file is None:
        raise errors.UsageError(
            "no credential; set BRONZESLIP_CREDENTIAL or --credential-file"
        )
    try:
        text = pathlib.Path(settings.credential_file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f"--credential-file: {settings.credential_file!r} is not allowed; "
            "allowed: a readable file"
        ) from error
    return text.strip()


def _tls_context(
    settings: operator.OperatorSettings,
) -> ssl.SSLContext | bool:
    if settings.ca_file is None:
        return True
    try:
        return ssl.create_default_context(cafile=settings.ca_file)
    except (OSError, ssl.SSLError) as error:
        raise errors.UsageError(
            f"--ca-file: {settings.ca_file!r} is not allowed; "
            "allowed: a file of certificates in PEM format"
        ) from error


def _decode(
    response: httpx.Response, response_type: type[ResponseT]
) -> ResponseT:
    try:
        return untrusted.from_json(response.content, response_type)
    except decoding_errors.UndecodableError as error:
        raise errors.CommandError(
            f"invalid response from the gateway: {error.message}"
        ) from error
