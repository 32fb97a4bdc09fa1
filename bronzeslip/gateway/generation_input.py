"""What a caller wants generated."""

import msgspec


class GenerationInput(msgspec.Struct, frozen=True):
    """What the caller wants generated.

    Attributes:
        model: Model named.
        prompt: Prompt as text.
        max_tokens: Most tokens to produce.
    """

    model: str
    prompt: str
    max_tokens: int
