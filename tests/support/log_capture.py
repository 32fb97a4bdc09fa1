"""Capture of the log lines that are written during a test."""

import contextlib
import json
import logging

from bronzeslip import logs


class LogCapture(logging.Handler):
    """Stores each line as the dictionary decoded from its JSON."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(json.loads(record.getMessage()))

    def matching(self, event, **fields):
        """Lists the lines of an event whose fields have the given values."""
        return [
            line
            for line in self.lines
            if line["event"] == event and fields.items() <= line.items()
        ]

    def single(self, event, **fields):
        """Returns the only line of an event with the given values."""
        (line,) = self.matching(event, **fields)
        return line


@contextlib.contextmanager
def capture():
    """Captures every line logged while the block runs."""
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
