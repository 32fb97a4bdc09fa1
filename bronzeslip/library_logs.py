"""Log records of libraries, written as events."""

import logging

from bronzeslip import logs

_LIBRARIES = ("asyncio", "grpc", "httpcore", "httpx", "litestar", "uvicorn")


class _EventHandler(logging.Handler):
    """Writes records as rate-limited events without the data they contain."""

    def __init__(self) -> None:
        super().__init__()
        self._logger = logs.get_logger(__name__)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record with its message before arguments are inserted."""
        error = record.exc_info[1] if record.exc_info else None
        fields = {"library": record.name, "message": str(record.msg).strip()}
        if error is not None:
            fields["reason"] = logs.describe(error)
        if record.levelno >= logging.ERROR:
            self._logger.error("library.message", **fields)
        else:
            self._logger.warning("library.message", **fields)


def configure() -> None:
    """Writes the warnings and errors of libraries as events."""
    handler = _EventHandler()
    for name in _LIBRARIES:
        library = logging.getLogger(name)
        library.setLevel(logging.WARNING)
        library.handlers[:] = [handler]
        library.propagate = False
