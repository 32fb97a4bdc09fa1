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
_MAX_LINES = 4096
# Time that waiting lines get at the end of the program; well within the time
# that the operators leave a process that they have told to end.
_END_S = 0.5


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues lines; counts those for which there is no room."""

    def __init__(self, lines: queue.Queue) -> None:
        super().__init__(lines)
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


class _LineHandler(logging.Handler):
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
        rest = f"{self.format(record)}\n".encode()
        while rest:
            rest = rest[self._output.write(rest) :]


class _BoundedListener(logging.handlers.QueueListener):
    """Writes lines; its end does not wait for a reader for ever."""

    def stop(self) -> None:
        """Writes the lines that wait, as far as they are read in time."""
        with contextlib.suppress(queue.Full):
            self.queue.put(self._sentinel, timeout=_END_S)
        self._thread.join(_END_S)


@contextlib.contextmanager
def running(output: BinaryIO | None = None) -> Iterator[None]:
    """Has a thread write all lines while the block runs.

    A reader that does not read blocks the thread alone. Lines that wait then
    are bounded, and further ones are left out and counted.

    Args:
        output: Where lines go, standard output if None.
    """
    lines: queue.Queue = queue.Queue(_MAX_LINES)
    root = logging.getLogger()
    before = root.handlers[:]
    root.handlers[:] = [_DroppingHandler(lines)]
    listener = _BoundedListener(lines, _LineHandler(output or _own_output()))
    listener.start()
    try:
        yield
    finally:
        root.handlers[:] = before
        listener.stop()


def _own_output() -> BinaryIO:
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
