"""Kinds of requests that callers send."""

import enum

from tools import entry_configuration


class RequestKind(enum.Enum):
    """Kind of a request, identified by the path it is sent to."""

    CALL = entry_configuration.CALLS_PATH
    READ = entry_configuration.READS_PATH
    STREAM = entry_configuration.STREAMS_PATH

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self is RequestKind.READ
