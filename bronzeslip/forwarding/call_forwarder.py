"""Forwards calls, whose responses are buffered unless they are large."""

import asyncio

from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import components
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import evacuation_check
from bronzeslip.forwarding import relayed_response
from bronzeslip.forwarding import response_writer
from bronzeslip.routes import kind

_SERVER_ERROR_STATUS = 500
# Share of the remaining time after which an idempotent call without a response
# is sent to another endpoint, which then still has time to respond.
_FIRST_ATTEMPT_SHARE = 0.5

_Response = (
    buffered_response.BufferedResponse | relayed_response.RelayedResponse
)


class CallForwarder:
    """Forwards calls to plain services."""

    def __init__(self, shared: components.ForwardingComponents) -> None:
        self._components = shared

    async def forward(
        self,
        request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Forwards a call and sends the response to the caller.

        Raises:
            errors.ForwardingError: If there is no response to send.
        """
        call = _Call(self._components, request, writer)
        try:
            response = await self._components.attempt_runner.run(
                request, call.send_to
            )
            if isinstance(response, relayed_response.RelayedResponse):
                await call.relay(response)
                return
        except errors.ForwardingError:
            # The error response of an endpoint is more specific than ours.
            if call.error_response is None:
                raise
            response = call.error_response
        await buffered_response.send_to_caller(response, writer)


class _Call:
    """One call and the last error response that it received."""

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        self._components = shared
        self._request = request
        self._writer = writer
        self._attempt_count = 0
        self._chosen: endpoint.Endpoint | None = None
        self.error_response: buffered_response.BufferedResponse | None = None

    async def send_to(self, chosen: endpoint.Endpoint) -> _Response:
        """Sends the call to an endpoint and reads the response.

        A response that is too large to be buffered is not read to its end.
        """
        self.error_response = None
        self._chosen = chosen
        self._attempt_count += 1
        with self._components.in_flight.track(chosen.endpoint_id):
            try:
                async with asyncio.timeout(self._attempt_timeout_s()):
                    response = await self._exchange(chosen)
            except TimeoutError as error:
                raise endpoint_errors.EndpointResponseLostError(
                    "no response before the attempt timeout"
                ) from error
        if response.head.status >= _SERVER_ERROR_STATUS and self._is_idempotent:
            await self._keep_error(response)
            raise endpoint_errors.EndpointResponseLostError(
                f"status {response.head.status}"
            )
        return response

    async def relay(self, response: relayed_response.RelayedResponse) -> None:
        """Sends a response as it arrives.

        Raises:
            errors.OutcomeUnknownError: If it is incomplete.
        """
        with self._components.in_flight.track(self._chosen.endpoint_id):
            try:
                await response.send_to_caller(self._writer)
                await self._components.crash_detector.raise_if_gone(
                    self._request, self._chosen, response.head
                )
            except endpoint_errors.EndpointError as error:
                self._components.failures.record_failure(
                    self._chosen.endpoint_id
                )
                raise errors.OutcomeUnknownError(error.message) from error
            finally:
                await response.close()
        await self._writer.finish()

    async def _keep_error(self, response: _Response) -> None:
        """Keeps an error response in case no other endpoint responds."""
        if isinstance(response, relayed_response.RelayedResponse):
            await response.close()
        else:
            self.error_response = response

    @property
    def _is_idempotent(self) -> bool:
        return self._request.route.kind is kind.RequestKind.IDEMPOTENT

    def _attempt_timeout_s(self) -> float | None:
        """Returns the timeout of an attempt, or None if no retry may follow."""
        if not self._is_idempotent:
            return None
        if self._attempt_count >= self._request.route.max_attempts:
            return None
        return max(self._request.remaining_s * _FIRST_ATTEMPT_SHARE, 0)

    async def _exchange(self, chosen: endpoint.Endpoint) -> _Response:
        outgoing = dispatch.Dispatch(
            request=self._request.request,
            endpoint=chosen,
            remaining_s=self._request.remaining_s,
            workspace_id=self._request.workspace_id,
        )
        evacuation_check.raise_if_evacuated(self._components.endpoints, chosen)
        response = await self._components.client.send(outgoing)
        await raise_if_not_run(response)
        received = await relayed_response.read(
            response,
            self._components.settings.response_max_bytes,
            self._writer.memory,
        )
        if isinstance(received, buffered_response.BufferedResponse):
            await self._components.crash_detector.raise_if_gone(
                self._request, chosen, received.head
            )
        return received


async def raise_if_not_run(response: endpoint_client.EndpointResponse) -> None:
    """Raises an error if a response states that the request has not run.

    Raises:
        endpoint_errors.EndpointRefusedError: If the request has not run.
        endpoint_errors.EndpointResponseLostError: If the response would tell
            the caller so though its endpoint does not.
    """
    if response.verdict is endpoint_client.RunVerdict.MAY_HAVE_RUN:
        return
    await response.close()
    if response.verdict is endpoint_client.RunVerdict.UNSTATED:
        raise endpoint_errors.EndpointResponseLostError(
            f"status {response.head.status} without a statement on the run"
        )
    raise endpoint_errors.EndpointRefusedError(
        f"status {response.head.status}, {response.verdict.value}"
    )
