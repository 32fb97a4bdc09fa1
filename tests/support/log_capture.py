"""Log lines of the product, captured as a test runs."""

import contextlib
import json
import logging

from bronzeslip import logs


class LogCapture(logging.Handler):
    """Keeps each line as the map that it holds."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(json.loads(record.getMessage()))

    def matching(self, event, **fields):
        """Lists the lines of an event that hold some values."""
        return [
            line
            for line in self.lines
            if line["event"] == event and fields.items() <= line.items()
        ]

    def single(self, event, **fields):
        """Returns the only line of an event that holds some values."""
        (line,) = self.matching(event, **fields)
        return line


@contextlib.contextmanager
def capture():
    """Captures every line that is written while the block runs."""
    handler = LogCapture()
    root = logging.getLogger("absl")
    old_level, old_format = root.level, logs.EventLogger._format
    logs.EventLogger.set_format(logs.LogFormat.JSON)
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    try:
        yield handler
    finally:
        root.setLevel(old_level)
        root.removeHandler(handler)
        logs.EventLogger.set_format(old_format)
