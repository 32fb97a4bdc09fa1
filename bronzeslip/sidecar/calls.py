"""Calls that a sidecar runs on its plain endpoint."""

import time

import httpx

from bronzeslip import logs
from bronzeslip.admission import errors as admission_errors
from bronzeslip.admission import gate
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import call as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0

CallOutcome = (
    frames.CallFinished | frames.CallRefused | frames.CallOutcomeUnknown
)


class CallRunner:
    """Runs calls on the endpoint and tells their outcome truthfully."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        admission: gate.AdmissionGate,
        metrics: sidecar_metrics.SidecarMetrics,
    ) -> None:
        self._metrics = metrics
        self._admission = admission
        self._http = httpx.AsyncClient(base_url=settings.endpoint_url)

    async def close(self) -> None:
        """Closes the connections to the endpoint."""
        await self._http.aclose()

    async def run(self, start: frames.StartCall) -> CallOutcome:
        """Runs a call, or tells that it was not run."""
        asked_s = time.monotonic()
        try:
            await self._admission.enter(start.expires_in_s)
        except admission_errors.AdmissionRefusedError as error:
            self._metrics.refused(start.service_name, error.refusal)
            return frames.CallRefused(
                start.call_id, error.refusal, error.retry_after_s
            )
        self._metrics.admitted(start.service_name, time.monotonic() - asked_s)
        try:
            return await self._send(start)
        finally:
            self._admission.leave()

    async def _send(self, start: frames.StartCall) -> CallOutcome:
        try:
            response = await self._http.request(
                start.method,
                start.path,
                headers=[
                    (header.name, header.value) for header in start.headers
                ],
                content=start.body,
                timeout=httpx.Timeout(
                    start.expires_in_s, connect=_CONNECT_TIMEOUT_S
                ),
            )
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
            start.call_id, response.status_code, headers, response.content
        )
