"""One generation on its way through the engines."""

import asyncio
import contextlib

import msgspec

from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import event_framer
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import reply
from bronzeslip.forwarding import standby_keeper
from bronzeslip.forwarding import stream_times
from bronzeslip.forwarding import whole_answer

logger = logs.get_logger(__name__)


class StreamRun:
    """Relays the events of one generation."""

    def __init__(
        self,
        shared: parts.ForwardingParts,
        request: admitted.AdmittedRequest,
        to_caller: reply.Reply,
    ) -> None:
        self._parts = shared
        self._request = request
        self._to_caller = to_caller
        self._endpoint: endpoint.Endpoint | None = None
        self._framer = event_framer.EventFramer()
        self._events = 0
        self._times = stream_times.StreamTimes(request.request.arrived_s)
        self._last_event_id: str | None = None
        self._load = contextlib.ExitStack()
        self._keeper: standby_keeper.StandbyKeeper | None = None
        self._keeping: asyncio.Task | None = None

    async def serve(self) -> None:
        """Relays events until the last one.

        Raises:
            errors.ForwardingError: If the answer is missing or not whole.
        """
        try:
            answer = await self._parts.attempts.run(
                self._request, self._start_at
            )
            while not await self._relay(answer):
                answer = await self._go_on()
            self._log_end()
            self._release_copy()
        finally:
            self._load.close()
            self._end_keeping()

    async def _start_at(
        self, chosen: endpoint.Endpoint
    ) -> endpoint_client.EndpointAnswer:
        return await self._send(chosen, None)

    async def _send(
        self, chosen: endpoint.Endpoint, source: dispatch.RunSource | None
    ) -> endpoint_client.EndpointAnswer:
        self._count_at(chosen, source)
        answer = await self._parts.client.send(
            dispatch.Dispatch(
                request=self._request.request,
                endpoint=chosen,
                left_s=self._request.left_s,
                workspace_id=self._request.workspace_id,
                priority=self._request.priority,
                source=source,
            )
        )
        await call_forwarder.refuse_unless_run(answer)
        self._endpoint = chosen
        logger.info(
            "stream.sent",
            request=self._request.request.request_id,
            endpoint=chosen.endpoint_id,
            events=self._events,
        )
        return answer

    def _count_at(
        self, chosen: endpoint.Endpoint, source: dispatch.RunSource | None
    ) -> None:
        """Counts the run at an engine, with a prompt if it has to read it."""
        shape = self._request.request.shape
        prompt_tokens = shape.prompt_tokens if shape and source is None else 0
        expected_tokens = shape.expected_tokens if shape else 0
        self._load.close()
        self._load.enter_context(
            self._parts.own.hold(
                chosen.endpoint_id,
                prompt_tokens,
                expected_tokens,
                chooser.is_long(self._request),
            )
        )

    async def _relay(self, answer: endpoint_client.EndpointAnswer) -> bool:
        """Relays an answer.

        Returns:
            Whether it was whole; otherwise its endpoint has failed.
        """
        try:
            if not answer.head.is_success:
                whole = await whole_answer.read(answer)
                await whole_answer.pass_on(whole, self._to_caller)
                return True
            async for chunk in answer.chunks():
                await self._take(answer.head, chunk)
        except endpoint_errors.EndpointBrokenError as error:
            logger.info(
                "stream.cut",
                request=self._request.request.request_id,
                endpoint=self._endpoint.endpoint_id,
                events=self._events,
                reason=error.message,
            )
            self._parts.crashes.note_broken(self._request, self._endpoint)
            return False
        finally:
            await answer.close()
        await self._finish(answer.head)
        return True

    async def _take(
        self, head: endpoint_client.AnswerHead, chunk: bytes
    ) -> None:
        block = self._framer.feed(chunk)
        if block is None:
            return
        await self._start_answer(head)
        await self._to_caller.write(block.data)
        self._times.event_sent(self._events)
        self._events += block.count
        self._last_event_id = block.last_event_id or self._last_event_id
        if self._keeping is None:
            self._begin_keeping()

    async def _finish(self, head: endpoint_client.AnswerHead) -> None:
        await self._start_answer(head)
        if self._framer.rest:
            await self._to_caller.write(self._framer.rest)
        await self._to_caller.finish()

    async def _start_answer(self, head: endpoint_client.AnswerHead) -> None:
        """Sends the head, without the length of what one engine sends."""
        if not self._to_caller.is_started:
            await self._to_caller.start(
                msgspec.structs.replace(head, content_length=None)
            )

    async def _go_on(self) -> endpoint_client.EndpointAnswer:
        """Has the run go on from its standby copy.

        Raises:
            errors.ForwardingError: If there is none that works.
        """
        copy = self._keeper.copy if self._keeper else None
        self._end_keeping()
        self._parts.standbys.has_ended(self._endpoint)
        if copy is None or self._last_event_id is None:
            raise self._broken_off("no copy of the run")
        self._framer = event_framer.EventFramer()
        source = dispatch.RunSource(
            copy.source.address, copy.handle, self._last_event_id
        )
        began_s = asyncio.get_running_loop().time()
        try:
            answer = await self._send(copy.target, source)
        except endpoint_errors.EndpointError as error:
            raise self._broken_off(error.message) from error
        logger.info(
            "stream.went_on",
            request=self._request.request.request_id,
            endpoint=copy.target.endpoint_id,
            events=self._events,
            copied_events=copy.events,
            took_s=round(asyncio.get_running_loop().time() - began_s, 3),
        )
        return answer

    def _begin_keeping(self) -> None:
        engine = self._request.service.engine
        if engine is None or not engine.can_move:
            return
        if not chooser.is_long(self._request):
            return
        self._keeper = standby_keeper.StandbyKeeper(
            self._parts, self._request, self._endpoint
        )
        self._keeping = asyncio.create_task(self._keeper.run())

    def _release_copy(self) -> None:
        if self._keeper is not None and self._keeper.copy is not None:
            self._parts.releaser.release(self._keeper.copy)

    def _end_keeping(self) -> None:
        if self._keeping is not None:
            self._keeping.cancel()
        self._keeping = None
        self._keeper = None

    def _log_end(self) -> None:
        first_s = self._times.first_s
        if first_s is not None:
            self._parts.metrics.record_stream(
                self._request.workspace_id,
                self._request.route.kind,
                first_s,
                self._times.longest_pause_s,
            )
        logger.info(
            "stream.done",
            request=self._request.request.request_id,
            route=self._request.route.name,
            endpoint=self._endpoint.endpoint_id,
            events=self._events,
            first_s=None if first_s is None else round(first_s, 3),
            longest_pause_s=round(self._times.longest_pause_s, 3),
            longest_pause_event=self._times.longest_pause_event,
        )

    def _broken_off(self, reason: str) -> errors.ForwardingError:
        logger.info(
            "stream.broken_off",
            request=self._request.request.request_id,
            endpoint=self._endpoint.endpoint_id,
            events=self._events,
            reason=reason,
        )
        if self._to_caller.is_started:
            return errors.AnswerBrokenOffError(reason)
        return errors.OutcomeUnknownError(reason)
