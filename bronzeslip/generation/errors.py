"""Errors of generations."""

from bronzeslip import errors


class GenerationError(errors.BronzeslipError):
    """A generation did not go as asked."""

    code = "generation-error"


class IndexGoneError(GenerationError):
    """The tokens asked for are no longer kept."""

    code = "generation-index-gone"
