"""Generation that runs behind a sidecar, received with reconnects."""

import asyncio
from collections.abc import Callable
import random
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.gateway import frame_taking
from bronzeslip.gateway import inbox
from bronzeslip.gateway import peer as gateway_peer
from bronzeslip.gateway import peer_pool
from bronzeslip.generation import errors
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from bronzeslip.transport import codec
from bronzeslip.transport import errors as transport_errors
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
_MAX_CONSECUTIVE_GAPS = 4
_ACKNOWLEDGE_INTERVAL_TOKENS = 64

Progress = frame_taking.Progress
StartFrameFactory = Callable[[ids.IncarnationId], frames.StartGeneration]


class RemoteGeneration:
    """Receives one generation from one sidecar.

    Tokens are passed on in order of their index and without duplicates. After
    a gap, a silent connection or a lost connection, a new connection is opened
    and the generation is resumed at the next expected index.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        peers: peer_pool.PeerPool,
        members: directory.MemberDirectory,
        endpoint: member.Member,
        generation_id: ids.GenerationId,
        workspace_id: ids.WorkspaceId,
        deadline_s: float,
        next_index: int = 0,
    ) -> None:
        """Initializes the generation without contacting the sidecar.

        Args:
            settings: Settings of the gateway.
            peers: Connections to sidecars.
            members: Known members, used to detect a replaced sidecar.
            endpoint: Sidecar that runs the generation.
            generation_id: Id of the generation.
            workspace_id: Workspace of the caller.
            deadline_s: Deadline on the monotonic clock, in seconds.
            next_index: Index of the first token to receive.
        """
        self.endpoint = endpoint
        self.generation_id = generation_id
        self.next_index = next_index
        self.duplicate_tokens = 0
        self.resume_count = 0
        self._settings = settings
        self._peers = peers
        self._members = members
        self._workspace_id = workspace_id
        self._deadline_s = deadline_s
        self._acknowledged_index = next_index
        self._incarnation_id = ids.IncarnationId("")
        self._accepted = False
        self._ended = False
        self._connection_failures = 0
        self._consecutive_gaps = 0
        self._reconnect_deadline_s = 0.0
        self._start_frame_factory: StartFrameFactory | None = None
        self._acceptance_timeout_s = 0.0
        self._peer: gateway_peer.Peer | None = None
        self._inbox: inbox.Inbox | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(
        self,
        start_frame_factory: StartFrameFactory,
        acceptance_timeout_s: float,
    ) -> None:
        """Requests the sidecar to run the generation.

        Args:
            start_frame_factory: Builds the start frame each time it is sent.
                Its argument is the incarnation of the sidecar that may accept
                the frame, or empty for any incarnation.
            acceptance_timeout_s: How long to retry after a lost connection if
                it is unknown whether the generation was accepted, in seconds.
        """
        self._start_frame_factory = start_frame_factory
        self._acceptance_timeout_s = acceptance_timeout_s
        self._open()

    def resume(self) -> None:
        """Requests the tokens of a generation that is already running."""
        self._open()

    async def wait_accepted(self) -> None:
        """Waits until the sidecar has accepted the generation.

        Raises:
            errors.GenerationRefusedError: If the sidecar refused the
                generation; it was not run.
            errors.GenerationLostError: If the sidecar accepted the generation
                and lost it.
            errors.SidecarUnavailableError: If the sidecar could not be reached.
            errors.DeadlineExceededError: If the request's deadline has passed.
        """
        while not self._accepted:
            frame_taking.handle(await self._next_frame(), self)

    async def receive(self) -> Progress:
        """Waits for the next tokens or the end of the generation.

        Raises:
            errors.GenerationLostError: If the generation cannot be completed.
            errors.SidecarUnavailableError: If the sidecar could not be reached.
            errors.DeadlineExceededError: If the request's deadline has passed.
        """
        while True:
            progress = frame_taking.handle(await self._next_frame(), self)
            if progress is not None:
                return progress

    def acknowledge(self) -> None:
        """Periodically acknowledges the relayed tokens to the sidecar."""
        count = self.next_index - self._acknowledged_index
        if count >= _ACKNOWLEDGE_INTERVAL_TOKENS:
            self._acknowledged_index = self.next_index
            self._send(
                frames.AcknowledgeTokens(self.generation_id, self.next_index)
            )

    def close(self) -> None:
        """Stops receiving; cancels the generation if it has not ended."""
        if self._peer is None:
            return
        if not self._ended:
            self._send(frames.CancelGeneration(self.generation_id))
        self._detach()

    def _open(self) -> None:
        self._peer = self._peers.get(self.endpoint.address)
        self._inbox = self._peer.open_inbox(self.generation_id)
        self._arm_deadline()
        if self._start_frame_factory is not None and not self._accepted:
            self._send(self._start_frame_factory(self._incarnation_id))
            return
        self._acknowledged_index = self.next_index
        self._send(
            frames.ResumeGeneration(
                self.generation_id, self._workspace_id, self.next_index
            )
        )

    def _detach(self) -> None:
        self._timer.cancel()
        self._peer.close_inbox(self.generation_id)
        self._peer = None

    def _arm_deadline(self) -> None:
        remaining_s = max(self._deadline_s - time.monotonic(), 0)
        error = errors.DeadlineExceededError(
            "the request's deadline has passed"
        )
        self._timer = asyncio.get_running_loop().call_later(
            remaining_s, self._inbox.close, error
        )

    def _send(self, frame: codec.Frame) -> None:
        self._peer.connection.send(frame)

    async def _next_frame(self) -> codec.Frame:
        while True:
            try:
                return await self._inbox.get()
            except transport_errors.ConnectionLostError:
                await self._reconnect()

    async def _reconnect(self) -> None:
        self._incarnation_id = (
            self._peer.connection.incarnation_id
            or self._incarnation_id
            or self.endpoint.incarnation_id
        )
        self._detach()
        now_s = time.monotonic()
        if not self._connection_failures:
            self._reconnect_deadline_s = min(
                now_s + self._reconnect_timeout_s(), self._deadline_s
            )
        self._check_reachable(now_s)
        self._connection_failures += 1
        await asyncio.sleep(_backoff_s(self._connection_failures))
        self._check_reachable(time.monotonic())
        self.resume_count += 1
        logger.info(
            "generation.resume",
            generation_id=self.generation_id,
            endpoint_id=self.endpoint.endpoint_id,
            next_index=self.next_index,
            accepted=self._accepted,
        )
        self._open()

    def _reconnect_timeout_s(self) -> float:
        if self._accepted or self._start_frame_factory is None:
            return self._settings.resume_timeout_s
        return self._acceptance_timeout_s

    def _check_reachable(self, now_s: float) -> None:
        current = self._members.endpoint(self.endpoint.endpoint_id)
        if current is not None and current.incarnation_id not in (
            self.endpoint.incarnation_id,
            self._incarnation_id,
        ):
            raise errors.GenerationLostError("the sidecar was replaced")
        if now_s >= self._reconnect_deadline_s:
            raise errors.SidecarUnavailableError(
                "the sidecar could not be reached"
            )

    def on_accepted(self) -> None:
        """Records that the sidecar has accepted the generation."""
        self._accepted = True

    def on_tokens(self, frame: frames.Tokens) -> Progress | None:
        """Returns the new tokens; reconnects if tokens are missing."""
        self._accepted = True
        duplicate_count = self.next_index - frame.first_index
        if duplicate_count < 0:
            self._reconnect_after_gap(frame.first_index)
            return None
        self._connection_failures = 0
        if duplicate_count:
            return self._drop_duplicates(frame, duplicate_count)
        self._consecutive_gaps = 0
        self.next_index += len(frame.texts)
        return frame

    def on_finished(self, frame: frames.GenerationFinished) -> Progress | None:
        """Returns the frame; reconnects if tokens before it are missing."""
        if frame.token_count != self.next_index:
            self._reconnect_after_gap(frame.token_count)
            return None
        self._ended = True
        return frame

    def on_refused(self, frame: frames.GenerationRefused) -> None:
        """Raises an error that depends on whether the generation may have run.

        Raises:
            errors.GenerationLostError: If it was accepted earlier, or may have
                been accepted by a previous incarnation of the sidecar.
            errors.GenerationRefusedError: If it was not run.
        """
        self._ended = True
        is_retry = self._incarnation_id != ""
        is_wrong_incarnation = (
            frame.reason is reason.RefusalReason.WRONG_INCARNATION
        )
        if (
            self._accepted
            or self._start_frame_factory is None
            or (is_retry and is_wrong_incarnation)
        ):
            raise errors.GenerationLostError(frame.reason.value)
        raise errors.GenerationRefusedError(frame.reason, frame.retry_after_s)

    def on_lost(self, frame: frames.GenerationLost) -> None:
        """Raises an error, as the sidecar has lost the generation."""
        self._ended = True
        raise errors.GenerationLostError(frame.reason.value, frame.crash_id)

    def _drop_duplicates(
        self, frame: frames.Tokens, duplicate_count: int
    ) -> frames.Tokens | None:
        new_texts = frame.texts[duplicate_count:]
        self.duplicate_tokens += len(frame.texts) - len(new_texts)
        if not new_texts:
            return None
        self._consecutive_gaps = 0
        first_index = self.next_index
        self.next_index += len(new_texts)
        return frames.Tokens(self.generation_id, first_index, new_texts)

    def _reconnect_after_gap(self, index: int) -> None:
        logger.warning(
            "generation.gap",
            generation_id=self.generation_id,
            next_index=self.next_index,
            index=index,
        )
        self._consecutive_gaps += 1
        if self._consecutive_gaps > _MAX_CONSECUTIVE_GAPS:
            raise errors.GenerationLostError(
                "too many consecutive gaps in the received tokens"
            )
        self._peers.abort(self.endpoint.address)
        self._peer.close_inbox(self.generation_id)
        # Reading from a closed inbox fails, which starts the reconnect.
        self._inbox = inbox.Inbox()
        self._inbox.close()


def _backoff_s(failure_count: int) -> float:
    max_backoff_s = min(
        _MIN_BACKOFF_S * 2 ** (failure_count - 1), _MAX_BACKOFF_S
    )
    return random.uniform(max_backoff_s / 2, max_backoff_s)
