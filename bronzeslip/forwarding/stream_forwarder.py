"""Forwards generations, whose events are passed on as they arrive."""

from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import reply
from bronzeslip.forwarding import stream_run


class StreamForwarder:
    """Forwards generations to model engines."""

    def __init__(self, shared: parts.ForwardingParts) -> None:
        self._parts = shared

    async def forward(
        self, request: admitted.AdmittedRequest, to_caller: reply.Reply
    ) -> None:
        """Forwards a generation until its last event.

        Raises:
            errors.ForwardingError: If it gets no answer, or not the whole.
        """
        run = stream_run.StreamRun(self._parts, request, to_caller)
        await run.serve()
