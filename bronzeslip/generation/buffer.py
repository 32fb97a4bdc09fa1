"""Tokens of one generation kept until they are no longer needed."""

from bronzeslip.generation import errors


class GenerationBuffer:
    """Consecutive tokens, addressed by index."""

    def __init__(self) -> None:
        self._first_index = 0
        self._texts: list[str] = []

    @property
    def first_index(self) -> int:
        """Index of the oldest token kept."""
        return self._first_index

    @property
    def next_index(self) -> int:
        """Index that the next token will have."""
        return self._first_index + len(self._texts)

    def append(self, first_index: int, texts: list[str]) -> None:
        """Adds tokens, skipping those already held.

        Raises:
            errors.GenerationError: If tokens are missing before them.
        """
        overlap = self.next_index - first_index
        if overlap < 0:
            raise errors.GenerationError(f"token {self.next_index} is missing")
        self._texts.extend(texts[overlap:])

    def read(self, next_index: int, limit: int) -> list[str]:
        """Reads at most limit tokens from an index on.

        Raises:
            errors.IndexGoneError: If those tokens were dropped.
        """
        offset = next_index - self._first_index
        if offset < 0:
            raise errors.TokensDroppedError(f"token {next_index} was dropped")
        return self._texts[offset : offset + limit]

    def drop_before(self, index: int) -> None:
        """Drops the tokens below an index."""
        count = min(max(index - self._first_index, 0), len(self._texts))
        del self._texts[:count]
        self._first_index += count
