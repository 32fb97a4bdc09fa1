"""Interface of the client that calls endpoints."""

from collections.abc import AsyncIterator
import enum
from typing import Protocol

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import response_origin

_CONTENT_TYPE = b"content-type"


class RunVerdict(enum.Enum):
    """What a response states about whether the request has run."""

    MAY_HAVE_RUN = "may-have-run"
    # Callers take the status for a promise that the request has not run, but
    # the endpoint does not state it.
    UNSTATED = "unstated"
    NOT_RUN = "not-run"
    OTHER_ENDPOINT = "other-endpoint"


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded to the caller.
        content_length: Length of the body, in bytes, or None if unknown.
        framing: How the end of the body is marked.
        origin: Where the response came from, or None in tests.
    """

    status: int
    headers: tuple[incoming.HeaderField, ...]
    content_length: int | None = None
    framing: body_framing.BodyFraming = body_framing.BodyFraming.LENGTH
    origin: response_origin.ResponseOrigin | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx range."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> bytes | None:
        """Media type of the body in lower case, or None if it is not stated."""
        for field in self.headers:
            if field.name.lower() == _CONTENT_TYPE:
                return field.value.partition(b";")[0].strip().lower()
        return None


class EndpointResponse(Protocol):
    """Streaming response of an endpoint.

    Attributes:
        head: Status and headers.
        verdict: Whether the request has run.
        is_leaving: Whether the endpoint announces that it closes connections.
    """

    head: ResponseHead
    verdict: RunVerdict
    is_leaving: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body as they arrive.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the body is truncated.
        """

    async def read(self, max_bytes: int) -> bytes:
        """Reads the complete body.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the body is
                truncated or too large.
        """

    async def close(self) -> None:
        """Releases the connection, or closes it if the body is incomplete."""


class CopyResult(msgspec.Struct, frozen=True):
    """Result of copying a run to another engine.

    Attributes:
        handle: Handle of the copy at its source.
        events: Number of events that the run had generated when copied.
    """

    handle: ids.HandleId
    events: int


class EndpointClient(Protocol):
    """Client for calls to endpoints."""

    async def send(self, outgoing: dispatch.Dispatch) -> EndpointResponse:
        """Sends a request and waits for the head of the response.

        Raises:
            endpoint_errors.EndpointUnreachableError: If nothing was sent.
            endpoint_errors.EndpointResponseLostError: If the endpoint itself
                did not respond; the request may have run.
        """

    async def check_presence(
        self, target: endpoint.Endpoint, health_path: str
    ) -> None:
        """Checks the health of an endpoint over a new connection.

        Args:
            target: Endpoint to check.
            health_path: Path of the service's health check.

        Raises:
            endpoint_errors.EndpointAbsentError: If nothing listens at the
                address, or another endpoint does.
            endpoint_errors.EndpointError: If the endpoint did not respond.
        """

    async def report(
        self, target: endpoint.Endpoint, must_be_own: bool = False
    ) -> report.EngineReport:
        """Fetches the load report of an engine.

        Args:
            target: The engine.
            must_be_own: Whether the report must not be the response to an
                earlier call.

        Raises:
            endpoint_errors.EndpointError: If the engine returned no report.
        """

    async def read_load(
        self, target: endpoint.Endpoint, health_path: str
    ) -> None:
        """Makes an endpoint state its load, by a health request.

        Raises:
            endpoint_errors.EndpointError: If the endpoint did not respond.
        """

    async def copy_run(
        self,
        source: endpoint.Endpoint,
        request_id: ids.RequestId,
        target: endpoint.Endpoint,
        is_last: bool,
        timeout_s: float,
    ) -> CopyResult:
        """Instructs an engine to copy a run's memory to another engine.

        Args:
            source: Engine that runs the request.
            request_id: Id of the request whose run is copied.
            target: Engine that receives the copy.
            is_last: Whether the run stops before it is copied.
            timeout_s: Timeout of the call, in seconds.

        Raises:
            endpoint_errors.EndpointNotFoundError: If the engine has no such
                run.
            endpoint_errors.EndpointRefusedError: If the engine made no copy.
            endpoint_errors.EndpointError: If the engine did not respond.
        """

    async def drop_copy(
        self, holder: endpoint.Endpoint, handle: ids.HandleId
    ) -> None:
        """Instructs an engine to free a copy.

        If the engine is the source of the copy, the target frees it too.

        Raises:
            endpoint_errors.EndpointError: If the engine did not confirm it.
        """

    def remove_endpoint(self, target: endpoint.Endpoint) -> None:
        """Closes the connections to an endpoint that leaves or is gone."""
