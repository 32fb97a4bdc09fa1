"""Connection of a gateway to a sidecar."""

import time

from bronzeslip import logs
from bronzeslip.gateway import inbox
from bronzeslip.settings import gateway
from bronzeslip.transport import codec
from bronzeslip.transport import connection
from bronzeslip.transport.frames import call as call_frames
from bronzeslip.transport.frames import generation as generation_frames

_CALL_FRAMES = (
    call_frames.CallPrepared,
    call_frames.CallFinished,
    call_frames.CallRefused,
    call_frames.CallOutcomeUnknown,
)

logger = logs.get_logger(__name__)


class Peer:
    """Connection to one sidecar and the inboxes of the runs that use it.

    Attributes:
        lost_at_s: Time at which the connection ended, on the monotonic clock
            in seconds, or None.
    """

    def __init__(self, address: str, settings: gateway.GatewaySettings) -> None:
        self.lost_at_s: float | None = None
        self._inboxes: dict[str, inbox.Inbox] = {}
        self._connection = connection.PeerConnection(
            address, settings, self._on_frame, self._on_close
        )

    @property
    def connection(self) -> connection.PeerConnection:
        """Transport connection to the sidecar."""
        return self._connection

    def open_inbox(self, run_id: str) -> inbox.Inbox:
        """Opens the inbox of a run."""
        run_inbox = inbox.Inbox()
        self._inboxes[run_id] = run_inbox
        if self._connection.closed:
            run_inbox.close()
        return run_inbox

    def close_inbox(self, run_id: str) -> None:
        """Removes the inbox of a run; later frames of the run are dropped."""
        self._inboxes.pop(run_id, None)

    def _on_frame(self, frame: codec.Frame) -> None:
        if self._connection.closed:
            return
        run_inbox = self._inboxes.get(_run_id(frame))
        if run_inbox is None:
            self._drop_frame(frame)
            return
        run_inbox.put(frame)

    def _drop_frame(self, frame: codec.Frame) -> None:
        logger.debug("peer.frame_dropped", frame=type(frame).__name__)
        if isinstance(frame, generation_frames.Tokens):
            self._connection.send(
                generation_frames.CancelGeneration(frame.generation_id)
            )

    def _on_close(self) -> None:
        self.lost_at_s = time.monotonic()
        for run_inbox in self._inboxes.values():
            run_inbox.close()


def _run_id(frame: codec.Frame) -> str:
    if isinstance(frame, _CALL_FRAMES):
        return frame.call_id
    if isinstance(frame, call_frames.CallReport):
        return frame.query_id
    return getattr(frame, "generation_id", "")
