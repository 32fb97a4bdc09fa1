"""Input of a generation."""

import msgspec


class GenerationInput(msgspec.Struct, frozen=True):
    """Model, prompt and length limit of a generation.

    Attributes:
        model: Name of the model.
        prompt: Prompt as text.
        max_tokens: Maximum number of tokens to generate.
    """

    model: str
    prompt: str
    max_tokens: int
