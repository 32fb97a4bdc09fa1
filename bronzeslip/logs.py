"""Structured event logging over absl.logging."""

import collections
from collections.abc import Callable
import datetime
import enum
import json
import logging as standard_logging
import pathlib
import re
import traceback
from typing import Any

from absl import flags
from absl import logging
from absl.logging import converter
import msgspec

from bronzeslip import log_rate

# Longer values are cut, since many lines may wait to be written.
_MAX_VALUE_CHARS = 1_000

_UNQUOTED_TEXT = re.compile(r"[A-Za-z0-9_.:/@%+,*~()\[\]{}'|;?!&<>#$^-]+")

EventWriter = Callable[..., None]

# Number of events in this process by name, including suppressed lines.
event_counts: collections.Counter[str] = collections.Counter()

for _name in ("debug", "info", "warning", "error", "_write"):
    logging.ABSLLogger.register_frame_to_skip(__file__, _name)


class LogFormat(enum.Enum):
    """Format of log lines."""

    KEY_VALUE = "key-value"
    JSON = "json"


class LogLevel(enum.Enum):
    """Minimum level of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventLogger:
    """Writes the events of one module, one line per event."""

    _format = LogFormat.KEY_VALUE

    def __init__(self, module: str) -> None:
        self._module = module
        self._rate_limiters: dict[str, log_rate.LogRateLimiter] = {}

    @classmethod
    def set_format(cls, log_format: LogFormat) -> None:
        """Sets the line format of all loggers."""
        cls._format = log_format

    def debug(self, event: str, **fields: Any) -> None:
        """Writes an event at debug level."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Writes an event at info level."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes an event at warning level."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Writes an event at error level."""
        self._write(logging.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if level == logging.DEBUG and not logging.level_debug():
            return
        event_counts[event] += 1
        rate_limiter = self._rate_limiters.setdefault(
            event, log_rate.LogRateLimiter()
        )
        if not rate_limiter.try_acquire():
            return
        suppressed = rate_limiter.take_suppressed_count()
        if suppressed:
            fields = {**fields, "left_out": suppressed}
        line = {"event": event, "module": self._module, **fields}
        if self._format is LogFormat.JSON:
            line = {**_time_and_level(level), **line}
        logging.log(level, "%s", _render(line, self._format))


def _time_and_level(level: int) -> dict[str, Any]:
    now = datetime.datetime.now(datetime.UTC)
    return {
        "time": now,
        "level": standard_logging.getLevelName(
            converter.absl_to_standard(level)
        ),
    }


def _render(line: dict[str, Any], log_format: LogFormat) -> str:
    """Renders a line, which may contain values that can't be encoded."""
    try:
        return _encode(line, log_format)
    except Exception:  # Values come from other programs.
        printable = {key: _printable(value) for key, value in line.items()}
        return _encode(printable, log_format)


def _encode(line: dict[str, Any], log_format: LogFormat) -> str:
    shortened = {key: _shorten(value) for key, value in line.items()}
    if log_format is LogFormat.JSON:
        return msgspec.json.encode(shortened, enc_hook=str).decode()
    return " ".join(
        f"{key}={_quote(value)}" for key, value in shortened.items()
    )


def _shorten(value: Any) -> Any:
    if isinstance(value, str) and len(value) > _MAX_VALUE_CHARS:
        return f"{value[:_MAX_VALUE_CHARS]}... ({len(value)} characters)"
    return value


def _printable(value: Any) -> str:
    try:
        return ascii(value)
    except Exception:
        return f"({type(value).__name__} that can't be shown)"


def _quote(value: Any) -> str:
    text = str(value.value if isinstance(value, enum.Enum) else value)
    return text if _UNQUOTED_TEXT.fullmatch(text) else json.dumps(text)


def describe(error: BaseException) -> str:
    """Describes an unexpected exception without the data it contains."""
    name = type(error).__name__
    if error.__traceback__ is None:
        return name
    last = traceback.extract_tb(error.__traceback__)[-1]
    module = pathlib.PurePath(last.filename).stem
    return f"{name} in {module}.{last.name}, line {last.lineno}"


def configure(log_format: LogFormat, level: LogLevel) -> None:
    """Configures logging of a daemon.

    Args:
        log_format: Format of each line.
        level: Minimum level to write.
    """
    EventLogger.set_format(log_format)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(level.value)
    logging.set_stderrthreshold(level.value)
    if log_format is LogFormat.JSON:
        logging.get_absl_handler().setFormatter(None)


def get_logger(module: str) -> EventLogger:
    """Returns the event logger of a module."""
    return EventLogger(module)
