"""Processing of a request from its arrival to its response."""

import asyncio

from bronzeslip.forwarding import admission
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import drain_deadline
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import request_ledger
from bronzeslip.forwarding import response_writer
from bronzeslip.forwarding import stream_forwarder
from bronzeslip.routes import kind


class Pipeline:
    """Admits requests and passes them to the forwarder of their kind."""

    def __init__(
        self,
        admitter: admission.Admission,
        calls: call_forwarder.CallForwarder,
        streams: stream_forwarder.StreamForwarder,
        crash_detector: crash_watch.CrashDetector,
        ledger: request_ledger.RequestLedger,
        drain: drain_deadline.DrainDeadline,
    ) -> None:
        """Initializes the pipeline.

        Args:
            admitter: Admits requests according to the configuration.
            calls: Forwards calls.
            streams: Forwards generations.
            crash_detector: Clears completed requests from the suspects.
            ledger: Records the outcome of requests.
            drain: Ends requests before the gateway is killed.
        """
        self._admitter = admitter
        self._calls = calls
        self._streams = streams
        self._crash_detector = crash_detector
        self._ledger = ledger
        self._drain = drain

    async def serve(
        self,
        request: incoming.IncomingRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Serves a request until its response has been sent.

        Raises:
            errors.ForwardingError: If there is no complete response of an
                endpoint.
        """
        with self._ledger.count_refusals_by_place():
            await self._admit_and_serve(request, writer)

    async def _admit_and_serve(
        self,
        request: incoming.IncomingRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        admitted_request = self._drain.limit(self._admitter.admit(request))
        with self._ledger.track_outcome(admitted_request, writer):
            await self._serve_with_deadline(admitted_request, writer)
            self._crash_detector.record_completion(admitted_request)

    async def _serve_with_deadline(
        self,
        admitted_request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        try:
            async with asyncio.timeout_at(
                admitted_request.deadline_s
            ) as timeout:
                with self._drain.shorten(timeout):
                    await self._forward(admitted_request, writer)
        except TimeoutError as error:
            raise errors.DeadlineExceededError(
                "the deadline of the request has passed"
            ) from error

    async def _forward(
        self,
        admitted_request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        if admitted_request.route.kind is kind.RequestKind.STREAM:
            await self._streams.forward(admitted_request, writer)
        else:
            await self._calls.forward(admitted_request, writer)
