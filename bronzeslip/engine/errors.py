"""Errors of the engine client."""

from bronzeslip import errors


class EngineError(errors.BronzeslipError):
    """A call to the engine failed."""

    code = "engine-error"


class EngineUnavailableError(EngineError):
    """The engine gave no answer or broke one off."""

    code = "engine-unavailable"


class EngineUnreachableError(EngineUnavailableError):
    """No connection to the engine came about; nothing was sent."""

    code = "engine-unreachable"


class EngineRefusedError(EngineError):
    """The engine answered that it did not take the request."""

    code = "engine-refused"


class GenerationUnknownError(EngineError):
    """The engine does not know the generation."""

    code = "generation-unknown"
