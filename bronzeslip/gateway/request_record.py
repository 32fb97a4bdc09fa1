"""Logging and metrics of one request."""

from collections.abc import Iterator
import contextlib
import functools
import time

from bronzeslip import errors as base_errors
from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import workspace
from bronzeslip.gateway import errors
from bronzeslip.metrics import gateway_metrics
from bronzeslip.metrics import outcome as outcomes
from bronzeslip.metrics import request_labels
from bronzeslip.metrics import token_times

logger = logs.get_logger(__name__)

RequestOutcome = outcomes.RequestOutcome


class RequestRecord:
    """Records one request from its acceptance to its outcome."""

    def __init__(
        self,
        metrics: gateway_metrics.GatewayMetrics,
        request_id: ids.RequestId,
        workspace_id: ids.WorkspaceId,
        labels: request_labels.RequestLabels,
    ) -> None:
        self._metrics = metrics
        self._request_id = request_id
        self._workspace_id = workspace_id
        self._labels = labels
        self._started_at_s = time.monotonic()
        self._times = token_times.TokenTimes(self._started_at_s)
        self._dispatched_at_s: float | None = None
        self._run_ids: dict[str, str | None] = {}
        self._ended = False

    def accepted(self) -> None:
        """Records that the request was authenticated and accepted."""
        self._log(logger.info, "request.accepted")

    def dispatched(
        self,
        endpoint_id: ids.EndpointId,
        *,
        generation_id: ids.GenerationId | None = None,
        call_id: ids.CallId | None = None,
    ) -> None:
        """Records that the request was sent to an endpoint.

        Args:
            endpoint_id: Endpoint that is to run the request.
            generation_id: Id of the generation, if the request starts one.
            call_id: Id of the call, if the request starts one.
        """
        if self._dispatched_at_s is not None:
            self._metrics.count_retry(self._labels)
        self._run_ids = {
            "generation_id": generation_id,
            "call_id": call_id,
            "endpoint_id": endpoint_id,
        }
        self._dispatched_at_s = time.monotonic()
        self._log(logger.info, "request.dispatched")

    def endpoint_accepted(self) -> None:
        """Records that an endpoint accepted the request."""
        wait_s = time.monotonic() - self._dispatched_at_s
        self._metrics.record_queue_wait(
            self._labels, RequestOutcome.COMPLETED, wait_s
        )

    def endpoint_rejected(self) -> None:
        """Records that an endpoint did not accept the request."""
        wait_s = time.monotonic() - self._dispatched_at_s
        self._metrics.record_queue_wait(
            self._labels, RequestOutcome.REFUSED, wait_s
        )

    def resumed(self, request_id: ids.RequestId) -> None:
        """Records that the request resumes the response of an earlier one."""
        self._log(logger.info, "request.continues", continued_id=request_id)
        self._request_id = request_id

    def tokens_received(self, count: int) -> None:
        """Records a batch of received tokens."""
        self._times.add(count)

    def relay_ended(self, resume_count: int, duplicate_tokens: int) -> None:
        """Records the resumes and duplicate tokens of an ended relay."""
        self._metrics.count_resumes_and_duplicates(
            self._labels, resume_count, duplicate_tokens
        )

    @contextlib.contextmanager
    def track_failures(self) -> Iterator[None]:
        """Records an error raised in the context as the request's outcome."""
        try:
            yield
        except base_errors.BronzeslipError as error:
            self._record_error(error)
            raise
        except Exception as error:
            error.request_id = self._request_id
            self._finish(RequestOutcome.FAILED, "request.failed")
            raise
        except BaseException:
            self._finish(RequestOutcome.CANCELLED, "request.cancelled")
            raise

    @contextlib.contextmanager
    def track_outcome(self) -> Iterator[None]:
        """Records the outcome of the request: success or the raised error."""
        with self.track_failures():
            yield
        self._finish(RequestOutcome.COMPLETED, "request.finished")

    def _record_error(self, error: base_errors.BronzeslipError) -> None:
        outcome = _outcome_of(error)
        if outcome is RequestOutcome.REFUSED and not self._ended:
            self._metrics.count_refusal(self._labels, error.code)
        if isinstance(error, errors.GatewayError):
            error.request_id = self._request_id
        self._finish(outcome, f"request.{outcome.value}", reason=error.code)

    def _finish(
        self, outcome: RequestOutcome, event: str, reason: str | None = None
    ) -> None:
        if self._ended:
            return
        self._ended = True
        elapsed_s = time.monotonic() - self._started_at_s
        self._metrics.record_answer(
            self._labels, outcome, elapsed_s, self._times
        )
        log = (
            logger.info
            if outcome is RequestOutcome.COMPLETED
            else logger.warning
        )
        self._log(log, event, elapsed_s=round(elapsed_s, 4), reason=reason)

    def _log(self, log: logs.EventWriter, event: str, **fields: object) -> None:
        event_fields = {
            "request_id": self._request_id,
            "workspace_id": self._workspace_id,
            "service": self._labels.service_name,
            **self._run_ids,
            **fields,
        }
        log(event, **{k: v for k, v in event_fields.items() if v is not None})


def null_record() -> RequestRecord:
    """Returns a record whose metrics are not exported."""
    return RequestRecord(
        gateway_metrics.GatewayMetrics(),
        ids.RequestId(""),
        ids.WorkspaceId(""),
        request_labels.RequestLabels(
            ids.ServiceName(""), workspace.WorkspaceClass.INTERACTIVE
        ),
    )


@functools.singledispatch
def _outcome_of(_: base_errors.BronzeslipError) -> RequestOutcome:
    return RequestOutcome.FAILED


@_outcome_of.register
def _(_: errors.GatewayError) -> RequestOutcome:
    return RequestOutcome.REFUSED


@_outcome_of.register
def _(_: errors.IncompleteResponseError) -> RequestOutcome:
    return RequestOutcome.INCOMPLETE


@_outcome_of.register
def _(_: errors.CallerDisconnectedError) -> RequestOutcome:
    return RequestOutcome.CANCELLED


@_outcome_of.register
def _(_: errors.OutcomeUnknownError) -> RequestOutcome:
    return RequestOutcome.UNKNOWN
