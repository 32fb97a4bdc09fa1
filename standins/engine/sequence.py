"""One generation inside the engine stand-in."""

import enum
import re

import xxhash

_LENGTH_DIRECTIVE = re.compile(r"#length=(\d+)")
_CRASH_DIRECTIVE = "#crash"
_RUN_PREFIX_LENGTH = 6
_MIN_LENGTH_TOKENS = 8
_MAX_LENGTH_TOKENS = 160


class SequenceState(enum.Enum):
    """Where a sequence stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"


class Sequence:
    """A prompt and the tokens generated from it.

    The length of the output is fixed by the prompt: by the mark
    "#length=N", or else by a hash of the prompt.
    """

    def __init__(
        self, generation_id: str, prompt: str, max_tokens: int, priority: int
    ) -> None:
        self.generation_id = generation_id
        self.priority = priority
        self.prompt_words = prompt.split()
        self.state = SequenceState.WAITING
        self.texts: list[str] = []
        self.preemption_count = 0
        self.cached_prompt_tokens = 0
        self.remaining_prefill_tokens = 0
        self.allocated_blocks = 0
        self.requests_crash = _CRASH_DIRECTIVE in prompt
        self._prompt_fingerprint = prompt_fingerprint(prompt)
        requested_length = _requested_length(prompt, self._prompt_fingerprint)
        self._run_prefix = generation_id[:_RUN_PREFIX_LENGTH]
        self.output_length_tokens = min(requested_length, max_tokens)
        self.finish_reason = (
            "stop" if requested_length <= max_tokens else "length"
        )

    @property
    def context_tokens(self) -> int:
        """Tokens that the cache must hold for this sequence."""
        return len(self.prompt_words) + len(self.texts)

    def limit_length(self, max_tokens: int) -> None:
        """Lowers the length of the output to what there is room for."""
        if self.output_length_tokens > max_tokens:
            self.output_length_tokens = max(max_tokens, 1)
            self.finish_reason = "length"

    def next_token_text(self) -> str:
        """Returns the text of the next token.

        It tells the prompt, the run and the index, so that a reader can see
        where a token comes from.
        """
        return (
            f"{self._prompt_fingerprint}.{self._run_prefix}-{len(self.texts)} "
        )


def prompt_fingerprint(prompt: str) -> str:
    """Returns the mark that tokens of a prompt carry."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:6]


def _requested_length(prompt: str, fingerprint: str) -> int:
    match = _LENGTH_DIRECTIVE.search(prompt)
    if match:
        return int(match.group(1))
    length_range = _MAX_LENGTH_TOKENS - _MIN_LENGTH_TOKENS
    return _MIN_LENGTH_TOKENS + int(fingerprint, 16) % length_range
