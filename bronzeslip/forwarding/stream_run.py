"""Relays one generation, resuming it on another engine if needed."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import components
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import event_framer
from bronzeslip.forwarding import event_memory
from bronzeslip.forwarding import read_ahead
from bronzeslip.forwarding import response_writer
from bronzeslip.forwarding import run_standby
from bronzeslip.forwarding import run_stopper
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import stream_progress
from bronzeslip.forwarding import stream_sender

logger = logs.get_logger(__name__)

# An engine that a prompt crashes ends within moments of its first token.
_ANSWERED_AFTER_S = 1.0


class StreamRun:
    """Relays the events of one generation."""

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        self._components = shared
        self._request = request
        self._writer = writer
        self._endpoint: endpoint.Endpoint | None = None
        self._progress = stream_progress.StreamProgress(
            request, shared.settings.event_max_bytes
        )
        self._event_memory = event_memory.EventMemory(
            writer.memory, shared.settings.event_max_bytes
        )
        self._sender = stream_sender.StreamSender(
            shared, request, self._progress, writer
        )
        self._standby = run_standby.RunStandby(shared, request)
        self._stopper = run_stopper.RunStopper(shared, request)
        self._is_answered = False

    async def serve(self) -> None:
        """Relays events until the last one.

        Raises:
            errors.ForwardingError: If the response is missing or incomplete.
        """
        try:
            await self._serve()
        except errors.ForwardingError:
            # The error response of an endpoint is more specific than ours.
            response = self._sender.error_response
            if response is None or self._writer.is_started:
                raise
            await buffered_response.send_to_caller(response, self._writer)
        finally:
            self._sender.close()
            self._standby.stop()

    async def _serve(self) -> None:
        response = await self._components.attempt_runner.run(
            self._request, self._start_on
        )
        while not await self._relay(response):
            response = await self._resume()
        self._log_completion(response.head)
        self._standby.release()

    async def _start_on(
        self, chosen: endpoint.Endpoint
    ) -> endpoint_client.EndpointResponse:
        return await self._send(chosen, None)

    async def _send(
        self, chosen: endpoint.Endpoint, source: dispatch.ResumeSource | None
    ) -> endpoint_client.EndpointResponse:
        response = await self._sender.send(chosen, source)
        self._endpoint = chosen
        return response

    async def _relay(self, response: endpoint_client.EndpointResponse) -> bool:
        """Relays a response.

        Returns:
            Whether the response was complete. If not, its endpoint has failed.
        """
        try:
            if not response.head.is_success:
                buffered = await self._sender.read(response)
                await buffered_response.send_to_caller(buffered, self._writer)
                return True
            if self._components.read_ahead_bytes:
                await self._relay_ahead(response)
            else:
                await self._relay_body(response)
        except endpoint_errors.EndpointResponseLostError as error:
            logger.info(
                "stream.cut",
                request=self._request.request.request_id,
                endpoint=self._endpoint.endpoint_id,
                events=self._progress.events,
                reason=error.message,
            )
            self._components.crash_detector.record_lost_response(
                self._request, self._endpoint, self._is_answered
            )
            return False
        finally:
            await response.close()
        await self._finish(response.head)
        return True

    async def _relay_body(
        self, response: endpoint_client.EndpointResponse
    ) -> None:
        """Relays the body of a successful response.

        Raises:
            endpoint_errors.EndpointResponseLostError: If it is incomplete.
        """
        async for chunk in response.chunks():
            await self._relay_chunk(response.head, chunk)
        self._progress.raise_if_unfinished(response.head.framing)
        await self._raise_if_gone(response)

    async def _relay_ahead(
        self, response: endpoint_client.EndpointResponse
    ) -> None:
        """Relays the body of a successful response, reading it ahead.

        Raises:
            endpoint_errors.EndpointResponseLostError: If it is incomplete.
        """
        async with read_ahead.ReadAhead(
            self._checked_chunks(response),
            self._writer.memory.create_sibling(),
            self._components.read_ahead_bytes,
        ) as ahead:
            async for chunk in ahead.chunks():
                await self._relay_chunk(response.head, chunk)
        self._progress.raise_if_unfinished(response.head.framing)

    async def _checked_chunks(
        self, response: endpoint_client.EndpointResponse
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body; checks its engine at their end.

        The engine may leave while the caller still reads what is buffered.
        """
        async for chunk in response.chunks():
            yield chunk
        await self._raise_if_gone(response)

    async def _raise_if_gone(
        self, response: endpoint_client.EndpointResponse
    ) -> None:
        await self._components.crash_detector.raise_if_gone(
            self._request, self._endpoint, response.head
        )

    async def _relay_chunk(
        self, head: endpoint_client.ResponseHead, chunk: bytes
    ) -> None:
        block = self._progress.feed(chunk)
        if block is not None:
            await self._relay_events(head, block)
        await self._event_memory.hold(self._progress.remainder_bytes)

    async def _relay_events(
        self,
        head: endpoint_client.ResponseHead,
        block: event_framer.EventBlock,
    ) -> None:
        await self._start_response(head)
        await response_writer.write_slices(block.data, self._writer)
        self._progress.record(block)
        if self._progress.times.answering_s >= _ANSWERED_AFTER_S:
            self._record_answered()
        self._standby.start(self._endpoint)

    async def _finish(self, head: endpoint_client.ResponseHead) -> None:
        await self._start_response(head)
        if self._progress.remainder:
            await self._writer.write(self._progress.remainder)
        await self._writer.finish()
        self._record_answered()

    def _record_answered(self) -> None:
        if not self._is_answered:
            self._is_answered = True
            self._components.crash_detector.record_answered(self._request)

    async def _start_response(self, head: endpoint_client.ResponseHead) -> None:
        """Sends the head, without the content length.

        The length stated by one engine does not hold if the run resumes on
        another.
        """
        if not self._writer.is_started:
            await self._writer.start(
                msgspec.structs.replace(head, content_length=None)
            )

    async def _resume(self) -> endpoint_client.EndpointResponse:
        """Resumes the run from a copy or, if allowed, starts it anew.

        Raises:
            errors.ForwardingError: If the run can't be resumed.
        """
        copy = self._standby.stop()
        self._components.copy_target_chooser.record_engine_end(self._endpoint)
        self._progress.restart()
        self._is_answered = False
        reason = "no copy of the run"
        while True:
            copy = await self._stop_run(copy)
            if copy is None and not self._may_run_again:
                raise self._interruption_error(reason)
            try:
                if copy is not None:
                    return await self._resume_from(copy)
                return await self._run_again()
            except errors.NotRunError as error:
                reason = error.message
                if copy is None:
                    raise self._interruption_error(reason) from error
            except endpoint_errors.EndpointError as error:
                reason = error.message
            copy = None

    async def _stop_run(
        self, copy: standby_copy.StandbyCopy | None
    ) -> standby_copy.StandbyCopy | None:
        """Stops the run at the engine that may still work on it.

        Args:
            copy: Standby copy of the run, or None if there is none.

        Returns:
            The copy to resume from, or None if there is none.

        Raises:
            errors.ForwardingError: If the engine goes on with the run.
        """
        if self._progress.last_event_id is None:
            return None
        engine = self._sender.may_run_at
        if engine is None:
            return copy
        try:
            copy = await self._stopper.stop(engine, copy)
        except endpoint_errors.RunContinuesError as error:
            raise self._interruption_error(error.message) from error
        self._sender.may_run_at = None
        return copy

    @property
    def _may_run_again(self) -> bool:
        route = self._request.route
        return (
            route.may_run_again
            and self._progress.may_be_resumed
            and self._sender.run_count < route.max_attempts
            and self._request.remaining_s > 0
        )

    async def _resume_from(
        self, copy: standby_copy.StandbyCopy
    ) -> endpoint_client.EndpointResponse:
        """Resumes the run at the engine that holds its copy.

        Raises:
            endpoint_errors.EndpointError: If that engine does not resume it.
            errors.NotRunError: If that engine must not receive the request, or
                no retry or permit is left.
        """
        if not self._components.regions.is_eligible(
            copy.target, self._request.permitted_regions
        ):
            raise errors.NotRunError(
                "the engine with the copy is not in an allowed region"
            )
        if self._components.endpoints.is_evacuated(copy.target):
            raise errors.NotRunError("the engine with the copy is evacuated")
        if await self._components.cold_limits.acquire(
            copy.target, self._request
        ):
            raise errors.NotRunError(
                "the engine with the copy is cold and takes no more requests"
            )
        if await self._components.permits.acquire(copy.target):
            raise errors.NotRunError(
                "the engine with the copy takes no more requests"
            )
        self._take_retry()
        source = dispatch.ResumeSource(copy.source.address, copy.handle)
        started_s = asyncio.get_running_loop().time()
        response = await self._send(copy.target, source)
        logger.info(
            "stream.went_on",
            request=self._request.request.request_id,
            endpoint=copy.target.endpoint_id,
            events=self._progress.events,
            copied_events=copy.events,
            took_s=round(asyncio.get_running_loop().time() - started_s, 3),
        )
        return response

    async def _run_again(self) -> endpoint_client.EndpointResponse:
        """Starts a new run after the last event.

        Raises:
            endpoint_errors.EndpointError: If the chosen engine fails.
            errors.NotRunError: If no retry, permit or endpoint is left.
        """
        await self._reject_if_quarantined()
        self._take_retry()
        chosen = await self._components.permitted_chooser.choose(
            self._request, self._sender.tried, reserved=0.0
        )
        return await self._send(chosen, None)

    async def _reject_if_quarantined(self) -> None:
        """Rejects another run of a request that crashes engines.

        Raises:
            errors.QuarantinedError: If the request does.
        """
        crash_detector = self._components.crash_detector
        await crash_detector.wait_for_crash_check(self._request, self._endpoint)
        crash_detector.reject_quarantined(self._request)

    def _take_retry(self) -> None:
        """Consumes a retry of the service's budget.

        Raises:
            errors.NotRunError: If none is left.
        """
        budget = self._components.retry_budgets.of_service(
            self._request.service.name
        )
        if not budget.take():
            raise errors.NotRunError("the retry budget is exhausted")

    def _log_completion(self, head: endpoint_client.ResponseHead) -> None:
        first_event_s = self._progress.times.first_event_s
        if first_event_s is not None:
            self._components.metrics.record_stream(
                self._request.workspace_id,
                self._request.route.kind,
                first_event_s,
                self._progress.times.longest_pause_s,
            )
        logger.info(
            "stream.done",
            request=self._request.request.request_id,
            route=self._request.route.name,
            endpoint=self._endpoint.endpoint_id,
            events=self._progress.events,
            first_s=None if first_event_s is None else round(first_event_s, 3),
            longest_pause_s=round(self._progress.times.longest_pause_s, 3),
            longest_pause_event=self._progress.times.longest_pause_event,
            framing=head.framing.value,
            unfinished_bytes=len(self._progress.remainder),
        )

    def _interruption_error(self, reason: str) -> errors.ForwardingError:
        logger.info(
            "stream.broken_off",
            request=self._request.request.request_id,
            endpoint=self._endpoint.endpoint_id,
            events=self._progress.events,
            reason=reason,
        )
        if self._writer.is_started:
            return errors.ResponseInterruptedError(reason)
        return errors.OutcomeUnknownError(reason)
