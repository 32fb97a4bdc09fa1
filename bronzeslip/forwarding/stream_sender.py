"""Sends one generation to engines and tracks where it may run."""

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import components
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import evacuation_check
from bronzeslip.forwarding import response_writer
from bronzeslip.forwarding import run_load
from bronzeslip.forwarding import stream_progress

logger = logs.get_logger(__name__)

_SERVER_ERROR_STATUS = 500


class StreamSender:
    """Sends the request of a generation, one engine after the other.

    Attributes:
        tried: Engines that the request was sent to.
        run_count: Number of engines that began to run it.
        may_run_at: Engine that received the request and may not have ended its
            run, or None.
        error_response: Error response of the last engine, or None.
    """

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
        progress: stream_progress.StreamProgress,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Initializes the sender.

        Args:
            shared: Shared components of the gateway.
            request: Request of the generation.
            progress: Events that the caller has received.
            writer: Response to the caller.
        """
        self._components = shared
        self._request = request
        self._progress = progress
        self._writer = writer
        self._load = run_load.RunLoad(shared.in_flight, request)
        self.tried: set[ids.EndpointId] = set()
        self.run_count = 0
        self.may_run_at: endpoint.Endpoint | None = None
        self.error_response: buffered_response.BufferedResponse | None = None

    def close(self) -> None:
        """Ends the count of the run as in flight."""
        self._load.close()
        self._components.placement.chooser.end(self._request.request.request_id)

    async def send(
        self, chosen: endpoint.Endpoint, source: dispatch.ResumeSource | None
    ) -> endpoint_client.EndpointResponse:
        """Sends the request, after the events that the caller has.

        Args:
            chosen: Engine that receives it.
            source: Copy from which the run resumes, or None.

        Raises:
            endpoint_errors.EndpointError: If the engine does not run it, or
                its run has failed and may go on elsewhere.
        """
        self._load.register(chosen, has_copy=source is not None)
        self.tried.add(chosen.endpoint_id)
        self.error_response = None
        response = await self._exchange(chosen, source)
        self.run_count += 1
        await self._raise_if_failed(response)
        logger.info(
            "stream.sent",
            request=self._request.request.request_id,
            endpoint=chosen.endpoint_id,
            events=self._progress.events,
        )
        return response

    async def read(
        self, response: endpoint_client.EndpointResponse
    ) -> buffered_response.BufferedResponse:
        """Reads a response that is no stream of events.

        Raises:
            endpoint_errors.EndpointResponseLostError: If it is incomplete.
        """
        return await buffered_response.read(
            response,
            self._components.settings.response_max_bytes,
            self._writer.memory,
        )

    async def _exchange(
        self, chosen: endpoint.Endpoint, source: dispatch.ResumeSource | None
    ) -> endpoint_client.EndpointResponse:
        self.may_run_at = chosen
        try:
            evacuation_check.raise_if_evacuated(
                self._components.endpoints, chosen
            )
            response = await self._components.client.send(
                dispatch.Dispatch(
                    request=self._request.request,
                    endpoint=chosen,
                    remaining_s=self._request.remaining_s,
                    workspace_id=self._request.workspace_id,
                    priority=self._request.priority,
                    source=source,
                    after_event_id=self._progress.last_event_id,
                )
            )
            await call_forwarder.raise_if_not_run(response)
        except (
            endpoint_errors.EndpointRefusedError,
            endpoint_errors.EndpointUnreachableError,
        ):
            self.may_run_at = None
            raise
        return response

    async def _raise_if_failed(
        self, response: endpoint_client.EndpointResponse
    ) -> None:
        """Raises an error if a run failed that may go on elsewhere."""
        is_server_error = response.head.status >= _SERVER_ERROR_STATUS
        if self._writer.is_started:
            has_failed = not _goes_on(self._writer.endpoint_head, response.head)
        else:
            has_failed = is_server_error and self._request.route.may_run_again
        if has_failed:
            self.error_response = await self.read(response)
            raise endpoint_errors.EndpointResponseLostError(
                f"status {response.head.status}"
            )


def _goes_on(
    first: endpoint_client.ResponseHead, next_head: endpoint_client.ResponseHead
) -> bool:
    """Returns whether a response may go on with the body of another one."""
    types = {first.media_type, next_head.media_type} - {None}
    return next_head.status == first.status and len(types) <= 1
