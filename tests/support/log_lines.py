"""Log lines of the product, captured as a test runs."""

import contextlib
import json
import logging

from bronzeslip import logs


class LogLines(logging.Handler):
    """Keeps each line as the map that it holds."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(json.loads(record.getMessage()))

    def of(self, event, **fields):
        """Lists the lines of an event that hold some values."""
        return [
            line
            for line in self.lines
            if line["event"] == event and fields.items() <= line.items()
        ]

    def one(self, event, **fields):
        """Returns the only line of an event that holds some values."""
        (found,) = self.of(event, **fields)
        return found


@contextlib.contextmanager
def captured():
    """Captures every line that is written while the block runs."""
    handler = LogLines()
    root = logging.getLogger("absl")
    level, before = root.level, logs.EventLogger._format
    logs.EventLogger.set_format(logs.LogFormat.JSON)
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    try:
        yield handler
    finally:
        root.setLevel(level)
        root.removeHandler(handler)
        logs.EventLogger.set_format(before)
