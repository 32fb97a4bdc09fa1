"""Sends one generation's tokens to one connection."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.generation import errors
from bronzeslip.generation import run
from bronzeslip.transport import codec
from bronzeslip.transport import outbox
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason

WINDOW_TOKENS = 512
MAX_FRAME_TOKENS = 128


class GenerationReader:
    """Read position and flow control of one connection in one generation."""

    def __init__(
        self,
        source: run.GenerationRun,
        target: outbox.Outbox,
        next_index: int,
        on_done: Callable[[], None],
    ) -> None:
        """Starts reading a generation.

        Args:
            source: Run to read.
            target: Outbox of the connection.
            next_index: Index of the first token to send.
            on_done: Called once when the outbox has taken the outcome.
        """
        self._source = source
        self._target = target
        self._next_index = next_index
        self._acknowledged_index = next_index
        self._accepted_sent = False
        self._on_done = on_done
        self._closed = False
        source.add_listener(self._mark_ready)
        self._mark_ready()

    @property
    def generation_id(self) -> ids.GenerationId:
        """Id of the generation that is read."""
        return self._source.start.generation_id

    @property
    def source(self) -> run.GenerationRun:
        """Run that is read."""
        return self._source

    def acknowledge(self, next_index: int) -> None:
        """Advances the send window to an acknowledged index."""
        self._source.acknowledge(next_index)
        if next_index > self._acknowledged_index:
            self._acknowledged_index = next_index
            self._mark_ready()

    def close(self) -> None:
        """Stops reading."""
        self._closed = True
        self._source.remove_listener(self._mark_ready)

    def _mark_ready(self) -> None:
        self._target.mark_ready(self.generation_id, self._collect)

    def _collect(self) -> list[codec.Frame]:
        batch: list[codec.Frame] = []
        if self._closed:
            return batch
        self._collect_accepted(batch)
        try:
            self._collect_tokens(batch)
        except errors.TokensDroppedError:
            refusal = reason.RefusalReason.UNKNOWN_GENERATION
            self._finish(
                batch,
                frames.GenerationRefused(self.generation_id, refusal, 0.0),
            )
            return batch
        self._collect_outcome(batch)
        return batch

    def _collect_accepted(self, batch: list[codec.Frame]) -> None:
        queued = self._source.state is run.RunState.QUEUED
        if not self._accepted_sent and not queued and not self._was_refused():
            self._accepted_sent = True
            batch.append(frames.GenerationAccepted(self.generation_id))

    def _was_refused(self) -> bool:
        return isinstance(self._source.terminal, frames.GenerationRefused)

    def _collect_tokens(self, batch: list[codec.Frame]) -> None:
        window_tokens = (
            self._acknowledged_index + WINDOW_TOKENS - self._next_index
        )
        limit = min(window_tokens, MAX_FRAME_TOKENS)
        if limit <= 0:
            return
        texts = self._source.buffer.read(self._next_index, limit)
        if texts:
            batch.append(
                frames.Tokens(self.generation_id, self._next_index, texts)
            )
            self._next_index += len(texts)

    def _collect_outcome(self, batch: list[codec.Frame]) -> None:
        if self._next_index < self._source.buffer.next_index:
            window_end = self._acknowledged_index + WINDOW_TOKENS
            if self._next_index < window_end:
                self._mark_ready()
            return
        terminal = self._source.terminal
        if terminal is not None:
            self._finish(batch, terminal)

    def _finish(
        self, batch: list[codec.Frame], terminal: run.TerminalFrame
    ) -> None:
        batch.append(terminal)
        self.close()
        self._on_done()
