"""Way of a request from its arrival to its answer."""

import asyncio

from bronzeslip.forwarding import admission
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import reply
from bronzeslip.forwarding import request_ledger
from bronzeslip.forwarding import stream_forwarder
from bronzeslip.routes import kind


class Pipeline:
    """Admits requests and hands them to the forwarder of their kind."""

    def __init__(
        self,
        admitting: admission.Admission,
        calls: call_forwarder.CallForwarder,
        streams: stream_forwarder.StreamForwarder,
        crashes: crash_watch.CrashWatch,
        ledger: request_ledger.RequestLedger,
    ) -> None:
        """Creates a pipeline.

        Args:
            admitting: Checks requests against the configuration.
            calls: Forwards calls.
            streams: Forwards generations.
            crashes: Clears requests that came to their end.
            ledger: Notes what becomes of requests.
        """
        self._admission = admitting
        self._calls = calls
        self._streams = streams
        self._crashes = crashes
        self._ledger = ledger

    async def serve(
        self, request: incoming.IncomingRequest, to_caller: reply.Reply
    ) -> None:
        """Serves a request until its answer has been passed on.

        Raises:
            errors.ForwardingError: If it gets no endpoint's answer, or not
                the whole of it.
        """
        allowed = self._admission.admit(request)
        with self._ledger.settling(allowed):
            await self._serve_in_time(allowed, to_caller)
            self._crashes.note_finished(allowed)

    async def _serve_in_time(
        self, allowed: admitted.AdmittedRequest, to_caller: reply.Reply
    ) -> None:
        try:
            async with asyncio.timeout_at(allowed.deadline_s):
                await self._forward(allowed, to_caller)
        except TimeoutError as error:
            raise errors.DeadlineExceededError(
                "the time for an answer is over"
            ) from error

    async def _forward(
        self, allowed: admitted.AdmittedRequest, to_caller: reply.Reply
    ) -> None:
        if allowed.route.kind is kind.RequestKind.STREAM:
            await self._streams.forward(allowed, to_caller)
        else:
            await self._calls.forward(allowed, to_caller)
