"""A generation in the engine stand-in and its deterministic output."""

import enum
import re

import xxhash

_LENGTH_DIRECTIVE = re.compile(r"#length=(\d+)")
_CRASH_DIRECTIVE = "#crash"
_RUN_PREFIX_LENGTH = 6
_MIN_LENGTH_TOKENS = 8
_MAX_LENGTH_TOKENS = 160


class SequenceState(enum.Enum):
    """Scheduling state of a sequence."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"


class Sequence:
    """A prompt and the tokens generated from it.

    The prompt determines the length of the output: the directive "#length=N"
    sets it, otherwise it is derived from a hash of the prompt. The directive
    "#crash" makes the stand-in exit.
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
        """Number of prompt and output tokens that the cache holds."""
        return len(self.prompt_words) + len(self.texts)

    def limit_length(self, max_tokens: int) -> None:
        """Limits the length of the output, to at least one token."""
        if self.output_length_tokens > max_tokens:
            self.output_length_tokens = max(max_tokens, 1)
            self.finish_reason = "length"

    def next_token_text(self) -> str:
        """Returns the text of the next token.

        The text contains the fingerprint of the prompt, a prefix of the
        generation id and the index of the token, so that a test can tell
        which generation a token belongs to.
        """
        return (
            f"{self._prompt_fingerprint}.{self._run_prefix}-{len(self.texts)} "
        )


def prompt_fingerprint(prompt: str) -> str:
    """Returns the fingerprint that tokens generated from a prompt contain."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:6]


def _requested_length(prompt: str, fingerprint: str) -> int:
    match = _LENGTH_DIRECTIVE.search(prompt)
    if match:
        return int(match.group(1))
    length_range = _MAX_LENGTH_TOKENS - _MIN_LENGTH_TOKENS
    return _MIN_LENGTH_TOKENS + int(fingerprint, 16) % length_range
