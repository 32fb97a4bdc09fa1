"""Interface of calls to endpoints."""

from collections.abc import AsyncIterator
import enum
from typing import Protocol

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import incoming


class RunVerdict(enum.Enum):
    """What an answer says of whether the request has run."""

    MAY_HAVE_RUN = "may-have-run"
    NOT_RUN = "not-run"
    OTHER_ENDPOINT = "other-endpoint"


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on to the caller.
        content_length: Length of the body, or None if it is not stated.
    """

    status: int
    headers: tuple[incoming.HeaderField, ...]
    content_length: int | None = None

    @property
    def is_success(self) -> bool:
        """Whether the endpoint did what was asked."""
        return 200 <= self.status < 300


class EndpointResponse(Protocol):
    """An endpoint's answer as it arrives.

    Attributes:
        head: Status and headers.
        verdict: Whether the request has run.
        is_leaving: Whether the endpoint says that it closes connections.
    """

    head: ResponseHead
    verdict: RunVerdict
    is_leaving: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            endpoint_errors.EndpointResponseLostError: If it ends early.
        """

    async def close(self) -> None:
        """Gives the connection back, or closes it in mid-answer."""


class CopyResult(msgspec.Struct, frozen=True):
    """A copy that an engine has made at another one.

    Attributes:
        handle: Name of the copy at its source.
        events: Events that the run had made when it was copied.
    """

    handle: ids.HandleId
    events: int


class EndpointClient(Protocol):
    """Calls endpoints."""

    async def send(self, outgoing: dispatch.Dispatch) -> EndpointResponse:
        """Sends a request and waits for the head of its answer.

        Raises:
            endpoint_errors.EndpointUnreachableError: If nothing was sent.
            endpoint_errors.EndpointResponseLostError: If no own answer
                came; the request may have run.
        """

    async def check_presence(
        self, target: endpoint.Endpoint, health_path: str
    ) -> None:
        """Asks an endpoint for its health over a new connection.

        Args:
            target: The endpoint.
            health_path: Path of its service that tells the health.

        Raises:
            endpoint_errors.EndpointAbsentError: If nothing listens there, or
                another endpoint does.
            endpoint_errors.EndpointError: If it did not answer.
        """

    async def report(self, target: endpoint.Endpoint) -> report.EngineReport:
        """Reads an engine's report.

        Raises:
            endpoint_errors.EndpointError: If none came.
        """

    async def copy_run(
        self,
        source: endpoint.Endpoint,
        request_id: ids.RequestId,
        target: endpoint.Endpoint,
        is_last: bool,
        timeout_s: float,
    ) -> CopyResult:
        """Has an engine copy a run's memory to another engine.

        Args:
            source: Engine that runs it.
            request_id: The run.
            target: Engine that gets the copy.
            is_last: Whether the run stops before it is copied.
            timeout_s: Longest wait, in seconds.

        Raises:
            endpoint_errors.EndpointRefusedError: If it made no copy.
            endpoint_errors.EndpointError: If no answer came.
        """

    async def drop_copy(
        self, holder: endpoint.Endpoint, handle: ids.HandleId
    ) -> None:
        """Has an engine free a copy, at both ends if it is the source.

        Raises:
            endpoint_errors.EndpointError: If it did not answer so.
        """

    def forget(self, target: endpoint.Endpoint) -> None:
        """Closes the idle connections to an endpoint that is gone."""
