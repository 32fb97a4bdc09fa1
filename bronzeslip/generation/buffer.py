"""Buffer for the tokens of one generation."""

from bronzeslip.generation import errors


class GenerationBuffer:
    """Consecutive tokens by index, kept until they are dropped."""

    def __init__(self) -> None:
        self._first_index = 0
        self._texts: list[str] = []

    @property
    def first_index(self) -> int:
        """Index of the oldest token in the buffer."""
        return self._first_index

    @property
    def next_index(self) -> int:
        """Index that the next token will have."""
        return self._first_index + len(self._texts)

    def append(self, first_index: int, texts: list[str]) -> None:
        """Appends tokens, skipping those already in the buffer.

        Raises:
            errors.GenerationError: If there is a gap before the new tokens.
        """
        overlap = self.next_index - first_index
        if overlap < 0:
            raise errors.GenerationError(
                f"gap in the tokens: token {self.next_index} is missing"
            )
        self._texts.extend(texts[overlap:])

    def read(self, next_index: int, limit: int) -> list[str]:
        """Returns at most limit tokens from an index onwards.

        Raises:
            errors.TokensDroppedError: If those tokens were dropped.
        """
        offset = next_index - self._first_index
        if offset < 0:
            raise errors.TokensDroppedError(
                f"token {next_index} is no longer in the buffer"
            )
        return self._texts[offset : offset + limit]

    def drop_before(self, index: int) -> None:
        """Drops the tokens below an index."""
        count = min(max(index - self._first_index, 0), len(self._texts))
        del self._texts[:count]
        self._first_index += count
