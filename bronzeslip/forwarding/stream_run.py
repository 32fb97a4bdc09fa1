"""One generation on its way through the engines."""

import msgspec

from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import event_framer
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import reply
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
        self._last_event_id: str | None = None

    async def serve(self) -> None:
        """Relays events until the last one.

        Raises:
            errors.ForwardingError: If the answer is missing or not whole.
        """
        answer = await self._parts.attempts.run(self._request, self._start_at)
        shape = self._request.request.shape
        with self._parts.own.hold(
            self._endpoint.endpoint_id, shape.expected_tokens if shape else 0
        ):
            await self._relay(answer)

    async def _start_at(
        self, chosen: endpoint.Endpoint
    ) -> endpoint_client.EndpointAnswer:
        sent = dispatch.Dispatch(
            request=self._request.request,
            endpoint=chosen,
            left_s=self._request.left_s,
            workspace_id=self._request.workspace_id,
            priority=self._request.priority,
        )
        answer = await self._parts.client.send(sent)
        await call_forwarder.refuse_unless_run(answer)
        self._endpoint = chosen
        return answer

    async def _relay(self, answer: endpoint_client.EndpointAnswer) -> None:
        if not answer.head.is_success:
            whole = await whole_answer.read(answer)
            await whole_answer.pass_on(whole, self._to_caller)
            return
        try:
            async for chunk in answer.chunks():
                await self._take(answer.head, chunk)
        except endpoint_errors.EndpointBrokenError as error:
            raise self._broken_off(error) from error
        finally:
            await answer.close()
        await self._finish(answer.head)

    async def _take(
        self, head: endpoint_client.AnswerHead, chunk: bytes
    ) -> None:
        block = self._framer.feed(chunk)
        if block is None:
            return
        await self._start_answer(head)
        await self._to_caller.write(block.data)
        self._events += block.count
        self._last_event_id = block.last_event_id or self._last_event_id

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

    def _broken_off(
        self, error: endpoint_errors.EndpointError
    ) -> errors.ForwardingError:
        logger.info(
            "stream.broken_off",
            request=self._request.request.request_id,
            endpoint=self._endpoint.endpoint_id,
            events=self._events,
            reason=error.message,
        )
        if self._to_caller.is_started:
            return errors.AnswerBrokenOffError(error.message)
        return errors.OutcomeUnknownError(error.message)
