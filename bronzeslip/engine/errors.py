"""Errors raised by the engine client."""

from bronzeslip import errors


class EngineError(errors.BronzeslipError):
    """A request to the engine failed."""

    code = "engine-error"


class EngineUnavailableError(EngineError):
    """The engine did not answer, failed, or broke off its response."""

    code = "engine-unavailable"


class EngineUnreachableError(EngineUnavailableError):
    """No connection to the engine was established; nothing was sent."""

    code = "engine-unreachable"


class EngineRefusedError(EngineError):
    """The engine rejected the request."""

    code = "engine-refused"


class GenerationUnknownError(EngineError):
    """The engine does not know the generation."""

    code = "generation-unknown"
