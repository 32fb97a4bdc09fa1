"""Sizes of a prompt and its output as stated by the caller."""

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, which may be shared with other prompts.

    Attributes:
        part_id: Id of the part.
        tokens: Length of the part, in tokens.
    """

    part_id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """Size of a generation as known before it starts.

    Attributes:
        model: Name of the requested model.
        prompt_tokens: Length of the prompt, in tokens.
        max_output_tokens: Maximum length of the output, in tokens.
        expected_output_tokens: Output length estimated by the caller, in
            tokens, or None.
        parts: Parts of the prompt, in order.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()

    @property
    def max_total_tokens(self) -> int:
        """Maximum memory of the generation, in tokens."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def output_estimate_tokens(self) -> int:
        """Expected length of the output, in tokens."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)

    @property
    def expected_tokens(self) -> int:
        """Expected memory at the end of the generation, in tokens."""
        return self.prompt_tokens + self.output_estimate_tokens
