"""One gateway's connection to a sidecar."""

import asyncio
from collections.abc import Awaitable
import functools

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.admission import gate
from bronzeslip.generation import errors as generation_errors
from bronzeslip.generation import reader
from bronzeslip.generation import run as generation_run
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import calls
from bronzeslip.sidecar import generations
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport import idle_timeout
from bronzeslip.transport import outbox
from bronzeslip.transport import stream
from bronzeslip.transport import workers
from bronzeslip.transport.frames import call as call_frames
from bronzeslip.transport.frames import generation as generation_frames
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0
_LOAD_CHANGE_FRAMES = (
    generation_frames.GenerationAccepted,
    generation_frames.GenerationRefused,
    generation_frames.GenerationFinished,
)


class PeerSession:
    """Handles the frames of one gateway on one connection."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        incarnation_id: ids.IncarnationId,
        admission: gate.AdmissionGate,
        generation_table: generations.GenerationTable,
        call_runner: calls.CallRunner,
        peer: stream.PeerStream,
    ) -> None:
        self._settings = settings
        self._incarnation_id = incarnation_id
        self._admission = admission
        self._generation_table = generation_table
        self._call_runner = call_runner
        self._peer = peer
        self._outbox = outbox.Outbox()
        self._idle_timeout = idle_timeout.IdleTimeout(settings)
        self._readers: dict[ids.GenerationId, reader.GenerationReader] = {}
        self._calls = task_set.TaskSet()
        self._finishing = asyncio.Event()

    def finish(self) -> None:
        """Ends the connection once all queued frames have been sent."""
        self._finishing.set()
        # Wakes the writer if nothing is queued.
        self._outbox.put(
            link.Heartbeat(self._incarnation_id, self._admission.load)
        )

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            await workers.run_until_first(
                self._read(),
                self._write(),
                self._send_heartbeats(),
                self._idle_timeout.run(),
            )
        except errors.TransportError as error:
            logger.warning(
                "peer.session_lost", code=error.code, reason=error.message
            )
        finally:
            for open_reader in self._readers.values():
                open_reader.close()

    async def _read(self) -> None:
        while True:
            batch = await self._peer.read()
            self._idle_timeout.reset()
            for frame in batch:
                self._handle(frame)

    async def _write(self) -> None:
        while not (self._finishing.is_set() and self._outbox.empty):
            batch = await self._outbox.take()
            if any(isinstance(frame, _LOAD_CHANGE_FRAMES) for frame in batch):
                batch = [self._heartbeat(), *batch]
            await self._peer.write(batch)

    async def _send_heartbeats(self) -> None:
        while True:
            self._outbox.put(self._heartbeat())
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _heartbeat(self) -> link.Heartbeat:
        return link.Heartbeat(self._incarnation_id, self._admission.load)

    @functools.singledispatchmethod
    def _handle(self, frame: codec.Frame) -> None:
        logger.warning("peer.unexpected_frame", frame=type(frame).__name__)

    @_handle.register
    def _(self, frame: link.Heartbeat) -> None:
        pass

    @_handle.register
    def _(self, frame: generation_frames.StartGeneration) -> None:
        if frame.incarnation_id not in ("", self._incarnation_id):
            self._refuse(
                frame.generation_id, reason.RefusalReason.WRONG_INCARNATION
            )
            self._generation_table.cancel_untracked(frame.generation_id)
            return
        try:
            self._open_reader(self._generation_table.start(frame), 0)
        except generation_errors.GenerationRefusedError as error:
            self._refuse(frame.generation_id, error.refusal)

    @_handle.register
    def _(self, frame: generation_frames.ResumeGeneration) -> None:
        found = self._generation_table.find(
            frame.generation_id, frame.workspace_id
        )
        if found is None:
            self._refuse(
                frame.generation_id, reason.RefusalReason.UNKNOWN_GENERATION
            )
            self._generation_table.cancel_untracked(frame.generation_id)
            return
        self._open_reader(found, frame.next_index)

    @_handle.register
    def _(self, frame: generation_frames.CancelGeneration) -> None:
        self._close_reader(frame.generation_id)
        self._generation_table.cancel(frame.generation_id)

    @_handle.register
    def _(self, frame: generation_frames.AcknowledgeTokens) -> None:
        found = self._readers.get(frame.generation_id)
        if found is not None:
            found.acknowledge(frame.next_index)

    @_handle.register
    def _(self, frame: call_frames.PrepareCall) -> None:
        self._outbox.put(self._call_runner.prepare(frame))

    @_handle.register
    def _(self, frame: call_frames.StartCall) -> None:
        self._start_call(self._call_runner.run(frame))

    @_handle.register
    def _(self, frame: call_frames.QueryCall) -> None:
        self._start_call(self._call_runner.query(frame))

    def _start_call(self, work: Awaitable[codec.Frame]) -> None:
        self._calls.start("send result", self._send_result(work))

    async def _send_result(self, work: Awaitable[codec.Frame]) -> None:
        self._outbox.put(await work)

    def _refuse(
        self, generation_id: ids.GenerationId, refusal: reason.RefusalReason
    ) -> None:
        self._outbox.put(
            generation_frames.GenerationRefused(
                generation_id, refusal, _RETRY_AFTER_S
            )
        )

    def _open_reader(
        self, source: generation_run.GenerationRun, next_index: int
    ) -> None:
        generation_id = source.start.generation_id
        self._close_reader(generation_id)
        self._readers[generation_id] = reader.GenerationReader(
            source,
            self._outbox,
            next_index,
            lambda: self._readers.pop(generation_id, None),
        )

    def _close_reader(self, generation_id: ids.GenerationId) -> None:
        found = self._readers.pop(generation_id, None)
        if found is not None:
            found.close()
