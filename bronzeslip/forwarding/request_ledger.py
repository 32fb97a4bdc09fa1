"""Logs and counts the outcomes of requests."""

import asyncio
from collections.abc import Iterator
import contextlib
import functools
from typing import Any

from bronzeslip import logs
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import response_writer
from bronzeslip.metrics import entry_metrics
from bronzeslip.metrics import outcome as outcomes

logger = logs.get_logger(__name__)

RequestOutcome = outcomes.RequestOutcome


class RequestLedger:
    """Records the start and the outcome of each admitted request."""

    def __init__(self, metrics: entry_metrics.EntryMetrics) -> None:
        self._metrics = metrics

    @contextlib.contextmanager
    def track_outcome(
        self,
        request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> Iterator[None]:
        """Records a request and the outcome of the block that serves it.

        Args:
            request: Request served by the block.
            writer: Response that the block sends to the caller.
        """
        logger.info(
            "request.accepted",
            request=request.request.request_id,
            route=request.route.name,
            service=request.service.name,
            workspace=request.workspace_id,
            configuration=request.configuration,
            configuration_age_s=request.configuration_age_s,
            left_s=round(request.remaining_s, 3),
        )
        outcome = RequestOutcome.FAILED
        try:
            yield
            outcome = RequestOutcome.COMPLETED
        except BaseException as error:
            outcome = _outcome_of(error)
            raise
        finally:
            self._record_outcome(request, outcome, writer.endpoint_head)

    @contextlib.contextmanager
    def count_refusals_by_place(self) -> Iterator[None]:
        """Counts a request that no endpoint may receive because of its place.

        Such a request may be refused before it is admitted.
        """
        try:
            yield
        except errors.NoEligibleEndpointError as error:
            self._metrics.count_refusal_by_place(error.code)
            raise

    def _record_outcome(
        self,
        request: admitted.AdmittedRequest,
        outcome: RequestOutcome,
        endpoint_head: endpoint_client.ResponseHead | None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        elapsed_s = now_s - request.request.arrived_s
        logger.info(
            "request.settled",
            request=request.request.request_id,
            outcome=outcome,
            elapsed_s=round(elapsed_s, 3),
            **_origin_fields(endpoint_head),
        )
        self._metrics.record_answer(
            request.workspace_id, request.route.kind, outcome, elapsed_s
        )


def _origin_fields(
    head: endpoint_client.ResponseHead | None,
) -> dict[str, Any]:
    """Returns the log fields that name the response a caller received."""
    if head is None or head.origin is None:
        return {}
    return {
        "endpoint": head.origin.endpoint_id,
        "status": head.status,
        "stamp": head.origin.stamp,
        "connection": head.origin.connection_number,
        "response": head.origin.response_number,
    }


@functools.singledispatch
def _outcome_of(_: BaseException) -> RequestOutcome:
    return RequestOutcome.FAILED


@_outcome_of.register
def _(_: asyncio.CancelledError) -> RequestOutcome:
    return RequestOutcome.CANCELLED


@_outcome_of.register
def _(_: errors.NotRunError) -> RequestOutcome:
    return RequestOutcome.REFUSED


@_outcome_of.register(errors.OutcomeUnknownError)
@_outcome_of.register(errors.DeadlineExceededError)
def _(_: errors.ForwardingError) -> RequestOutcome:
    return RequestOutcome.UNKNOWN


@_outcome_of.register
def _(_: errors.ResponseInterruptedError) -> RequestOutcome:
    return RequestOutcome.INCOMPLETE
