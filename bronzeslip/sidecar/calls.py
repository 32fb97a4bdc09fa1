"""Calls that a sidecar runs on its plain endpoint."""

import asyncio
import time

import httpx

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import gate
from bronzeslip.http import bounded_exchange
from bronzeslip.http import url_transport
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import call_table
from bronzeslip.transport.frames import call as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_EXPIRY_S = 2.0
_RETRY_AFTER_S = 1.0


class CallRunner:
    """Runs calls on the endpoint and reports whether they may have run."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        incarnation_id: ids.IncarnationId,
        admission: gate.AdmissionGate,
        metrics: sidecar_metrics.SidecarMetrics,
    ) -> None:
        self._metrics = metrics
        self._admission = admission
        self._max_response_bytes = settings.response_max_bytes
        self._endpoint_url = httpx.URL(settings.endpoint_url)
        self._http = _create_client(
            url_transport.create(idle_timeout_s=_KEEPALIVE_EXPIRY_S)
        )
        # A response to an earlier call may arrive where the next is due, and
        # names no call. The outcome of a call that runs once is kept.
        self._unpooled_http = _create_client(
            url_transport.create(max_idle_connections=0)
        )
        self._table = call_table.CallTable(
            settings, incarnation_id, self._admit_and_send
        )

    async def close(self) -> None:
        """Closes the connections to the endpoint."""
        await self._http.aclose()
        await self._unpooled_http.aclose()

    async def run(self, start: frames.StartCall) -> frames.CallOutcome:
        """Runs a call and returns its outcome, a refusal if it was not run."""
        if start.idempotent:
            return await self._admit_and_send(start)
        return await self._table.run(start)

    def prepare(
        self, request: frames.PrepareCall
    ) -> frames.CallPrepared | frames.CallRefused:
        """Issues a ticket for a call, or refuses it while draining."""
        if self._admission.load.draining:
            return frames.CallRefused(
                request.call_id, reason.RefusalReason.DRAINING, _RETRY_AFTER_S
            )
        return frames.CallPrepared(request.call_id, self._table.issue_ticket())

    async def query(self, query_frame: frames.QueryCall) -> frames.CallReport:
        """Reports the outcome of a call, or that it is pending."""
        return frames.CallReport(
            query_frame.query_id, await self._table.query(query_frame)
        )

    async def _admit_and_send(
        self, start: frames.StartCall
    ) -> frames.CallOutcome:
        requested_at_s = time.monotonic()
        try:
            await self._admission.enter(start.expires_in_s)
        except admission_errors.AdmissionRefusedError as error:
            self._metrics.count_refusal(start.service_name, error.refusal)
            return frames.CallRefused(
                start.call_id, error.refusal, error.retry_after_s
            )
        self._metrics.record_admission_wait(
            start.service_name, time.monotonic() - requested_at_s
        )
        try:
            return await self._send(start)
        finally:
            self._admission.leave()

    def _target_url(self, target: str) -> httpx.URL:
        """Appends path and query to the endpoint's URL, keeping its host."""
        base = self._endpoint_url.raw_path.rstrip(b"/")
        path = b"/" + target.removeprefix("/").encode()
        return self._endpoint_url.copy_with(raw_path=base + path)

    async def _send(self, start: frames.StartCall) -> frames.CallOutcome:
        try:
            response, body = await self._exchange(start)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return frames.CallRefused(
                start.call_id,
                reason.RefusalReason.ENDPOINT_DOWN,
                _RETRY_AFTER_S,
            )
        except httpx.HTTPError as error:
            logger.warning(
                "call.endpoint_failed",
                call_id=start.call_id,
                reason=type(error).__name__,
            )
            return frames.CallOutcomeUnknown(start.call_id)
        headers = tuple(
            frames.Header(name, value)
            for name, value in response.headers.multi_items()
        )
        return frames.CallFinished(
            start.call_id, response.status_code, headers, body
        )

    async def _exchange(
        self, start: frames.StartCall
    ) -> tuple[httpx.Response, bytes]:
        """Returns a response and its body, which is not decoded."""
        http = self._http if start.idempotent else self._unpooled_http
        try:
            async with (
                asyncio.timeout(start.expires_in_s + _CONNECT_TIMEOUT_S),
                http.stream(
                    start.method,
                    self._target_url(start.path),
                    headers=[
                        (header.name, header.value) for header in start.headers
                    ],
                    content=start.body,
                    timeout=httpx.Timeout(
                        start.expires_in_s, connect=_CONNECT_TIMEOUT_S
                    ),
                ) as response,
            ):
                body = await bounded_exchange.read_body(
                    response, self._max_response_bytes
                )
        except TimeoutError as error:
            raise httpx.ReadTimeout("no complete response in time") from error
        return response, body


def _create_client(transport: httpx.AsyncBaseTransport) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        headers={"Accept-Encoding": "identity"}, transport=transport
    )
