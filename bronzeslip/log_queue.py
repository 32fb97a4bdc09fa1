"""Log lines that wait for standard output without holding up the program."""

from collections.abc import Iterator
import contextlib
import json
import logging
import logging.handlers
import queue
import sys
from typing import BinaryIO

# Some seconds of lines at the bound of the rate, about 2 MB.
_MAX_QUEUED_RECORDS = 4096
# Time that waiting lines get at the end of the program; well within the time
# that the operators leave a process that they have told to end.
_SHUTDOWN_TIMEOUT_S = 0.5


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues lines; counts those for which there is no room."""

    def __init__(self, records: queue.Queue) -> None:
        super().__init__(records)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns a record as it is, since its message is already text."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line, and before it how many were left out."""
        try:
            if self._dropped:
                self.queue.put_nowait(_dropped_record(self._dropped))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


class _UnlockedHandler(logging.Handler):
    """Writes lines from one thread.

    It has no lock and no buffer, since a write that is blocked at the end of
    the program would hold them for ever.
    """

    def __init__(self, output: BinaryIO) -> None:
        super().__init__()
        self._output = output

    def createLock(self) -> None:  # noqa: N802
        """Does without a lock."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line."""
        unwritten = f"{self.format(record)}\n".encode()
        while unwritten:
            unwritten = unwritten[self._output.write(unwritten) :]


class _BoundedListener(logging.handlers.QueueListener):
    """Writes lines; its end does not wait for a reader for ever."""

    def stop(self) -> None:
        """Writes the lines that wait, as far as they are read in time."""
        with contextlib.suppress(queue.Full):
            self.queue.put(self._sentinel, timeout=_SHUTDOWN_TIMEOUT_S)
        self._thread.join(_SHUTDOWN_TIMEOUT_S)


@contextlib.contextmanager
def background_writer(output: BinaryIO | None = None) -> Iterator[None]:
    """Has a thread write all lines while the block runs.

    A reader that does not read blocks the thread alone. Lines that wait then
    are bounded, and further ones are left out and counted.

    Args:
        output: Where lines go, standard output if None.
    """
    records: queue.Queue = queue.Queue(_MAX_QUEUED_RECORDS)
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
    """Opens standard output anew.

    The interpreter flushes its own object at the end and would wait for a
    thread that is blocked in it.
    """
    return open(sys.stdout.fileno(), "wb", buffering=0, closefd=False)


def _dropped_record(count: int) -> logging.LogRecord:
    line = {"level": "WARNING", "event": "logs.dropped", "count": count}
    return logging.makeLogRecord(
        {"msg": json.dumps(line), "levelno": logging.WARNING}
    )
