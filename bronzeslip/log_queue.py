"""Log lines that wait for standard output without holding up the program."""

from collections.abc import Iterator
import contextlib
import json
import logging
import logging.handlers
import queue
import sys

# Some seconds of lines at the bound of the rate, about 2 MB.
_MAX_LINES = 4096


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


@contextlib.contextmanager
def running() -> Iterator[None]:
    """Has a thread write all lines to standard output while the block runs.

    A reader that does not read blocks the thread alone. Lines that wait then
    are bounded, and further ones are left out and counted.
    """
    lines: queue.Queue = queue.Queue(_MAX_LINES)
    root = logging.getLogger()
    before = root.handlers[:]
    root.handlers[:] = [_DroppingHandler(lines)]
    listener = logging.handlers.QueueListener(
        lines, logging.StreamHandler(sys.stdout)
    )
    listener.start()
    try:
        yield
    finally:
        root.handlers[:] = before
        listener.stop()


def _dropped_record(count: int) -> logging.LogRecord:
    line = {"level": "WARNING", "event": "logs.dropped", "count": count}
    return logging.makeLogRecord(
        {"msg": json.dumps(line), "levelno": logging.WARNING}
    )
