"""Non-blocking logging to standard output through a bounded queue."""

from collections.abc import Iterator
import contextlib
import json
import logging
import logging.handlers
import os
import queue
import sys
import time
from typing import BinaryIO

# Several seconds of lines at the rate limit.
_MAX_QUEUED_RECORDS = 4096
_MAX_QUEUED_CHARS = 2_097_152
# Delay before the next try to write to an output that accepts nothing.
_RETRY_DELAY_S = 0.1
# Time to write queued lines when the program ends; well below the time that
# operators allow a process to terminate.
_SHUTDOWN_TIMEOUT_S = 0.5


class _RecordQueue(queue.Queue):
    """Queue of records that is bounded in their number and in their size.

    Its size is counted in characters, of which a record has one at least.
    """

    def __init__(self) -> None:
        super().__init__(_MAX_QUEUED_CHARS)
        self._queued_chars = 0

    def _qsize(self) -> int:
        if super()._qsize() >= _MAX_QUEUED_RECORDS:
            return self.maxsize
        return self._queued_chars

    def _put(self, item: logging.LogRecord | None) -> None:
        super()._put(item)
        self._queued_chars += _size_chars(item)

    def _get(self) -> logging.LogRecord | None:
        item = super()._get()
        self._queued_chars -= _size_chars(item)
        return item


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues records; counts those dropped because the queue is full."""

    def __init__(self, records: queue.Queue) -> None:
        super().__init__(records)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged; its message is already formatted."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, preceded by the number of dropped ones if any."""
        try:
            if self._dropped:
                self.queue.put_nowait(_dropped_record(self._dropped))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


class _UnlockedHandler(logging.Handler):
    """Writes lines from a single thread, without a lock or a buffer.

    A write that is still blocked when the program ends would hold the lock or
    buffer forever and prevent the program from exiting. An output that fails,
    such as a full disk, may accept lines again later.
    """

    def __init__(self, output: BinaryIO) -> None:
        super().__init__()
        self._output = output
        self._lost = 0

    def createLock(self) -> None:  # noqa: N802
        """Creates no lock."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record as one line, or counts it if that fails."""
        try:
            if self._lost:
                self._write_line(_dropped_record(self._lost))
                self._lost = 0
            self._write_line(record)
        except OSError:
            self._lost += 1

    def _write_line(self, record: logging.LogRecord) -> None:
        unwritten = f"{self.format(record)}\n".encode(errors="replace")
        while unwritten:
            written_bytes = self._output.write(unwritten)
            # A descriptor that does not block is not ready.
            if written_bytes is None:
                time.sleep(_RETRY_DELAY_S)
            unwritten = unwritten[written_bytes or 0 :]


class _BoundedListener(logging.handlers.QueueListener):
    """Queue listener whose shutdown does not wait forever for a reader."""

    def stop(self) -> None:
        """Writes queued lines until done or until the shutdown timeout."""
        with contextlib.suppress(queue.Full):
            self.queue.put(self._sentinel, timeout=_SHUTDOWN_TIMEOUT_S)
        self._thread.join(_SHUTDOWN_TIMEOUT_S)


@contextlib.contextmanager
def background_writer(output: BinaryIO | None = None) -> Iterator[None]:
    """Writes all log lines from a background thread while the block runs.

    A blocked reader of the output blocks only that thread. The number of queued
    lines is bounded; further lines are dropped and counted.

    Args:
        output: Stream to write to, standard output if None.
    """
    records = _RecordQueue()
    root = logging.getLogger()
    previous_handlers = root.handlers[:]
    root.handlers[:] = [_DroppingHandler(records)]
    listener = _BoundedListener(
        records, _UnlockedHandler(output or _open_standard_output())
    )
    listener.start()
    try:
        yield
    finally:
        root.handlers[:] = previous_handlers
        listener.stop()


def _open_standard_output() -> BinaryIO:
    """Opens a separate stream on the standard output descriptor.

    The interpreter flushes sys.stdout at exit and would wait for a thread that
    is blocked in it. A process may have been started without standard output.
    """
    if sys.stdout is None:
        return open(os.devnull, "wb", buffering=0)
    return open(sys.stdout.fileno(), "wb", buffering=0, closefd=False)


def _size_chars(record: logging.LogRecord | None) -> int:
    """Returns the size of a record, or of the mark that ends the queue."""
    return 1 if record is None else 1 + len(record.getMessage())


def _dropped_record(count: int) -> logging.LogRecord:
    line = {"level": "WARNING", "event": "logs.dropped", "count": count}
    return logging.makeLogRecord(
        {"msg": json.dumps(line), "levelno": logging.WARNING}
    )
