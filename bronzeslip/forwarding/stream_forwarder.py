"""Forwards generations, whose events are relayed as they arrive."""

from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import response_writer
from bronzeslip.forwarding import stream_run


class StreamForwarder:
    """Forwards generations to model engines."""

    def __init__(self, shared: components.ForwardingComponents) -> None:
        self._components = shared

    async def forward(
        self,
        request: admitted.AdmittedRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Forwards a generation until its last event.

        Raises:
            errors.ForwardingError: If the response is missing or incomplete.
        """
        run = stream_run.StreamRun(self._components, request, writer)
        await run.serve()
