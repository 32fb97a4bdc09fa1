"""What a caller says of its prompt."""

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, which other prompts may share.

    Attributes:
        part_id: Id of the part.
        tokens: Its length, in tokens.
    """

    part_id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """Size of a generation as far as it is known ahead.

    Attributes:
        model: Model asked for.
        prompt_tokens: Length of the prompt, in tokens.
        max_output_tokens: Longest output, in tokens.
        expected_output_tokens: The caller's estimate, or None.
        parts: Parts of the prompt, in order.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()

    @property
    def max_total_tokens(self) -> int:
        """Memory that the generation takes at most, in tokens."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def output_estimate_tokens(self) -> int:
        """Length that the output is expected to have, in tokens."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)

    @property
    def expected_tokens(self) -> int:
        """Memory that the generation is expected to end at, in tokens."""
        return self.prompt_tokens + self.output_estimate_tokens
