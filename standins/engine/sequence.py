"""One generation inside the engine stand-in."""

import enum
import re

import xxhash

_LENGTH_MARK = re.compile(r"#length=(\d+)")
_CRASH_MARK = "#crash"
_RUN_MARK_LENGTH = 6
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
        self.prefill_left_tokens = 0
        self.blocks_held = 0
        self.crashes = _CRASH_MARK in prompt
        self._digest = prompt_mark(prompt)
        wanted = _wanted_length(prompt, self._digest)
        self._run_mark = generation_id[:_RUN_MARK_LENGTH]
        self.length_tokens = min(wanted, max_tokens)
        self.finish_reason = "stop" if wanted <= max_tokens else "length"

    @property
    def context_tokens(self) -> int:
        """Tokens that the cache must hold for this sequence."""
        return len(self.prompt_words) + len(self.texts)

    def cut(self, most_tokens: int) -> None:
        """Lowers the length of the output to what there is room for."""
        if self.length_tokens > most_tokens:
            self.length_tokens = max(most_tokens, 1)
            self.finish_reason = "length"

    def next_text(self) -> str:
        """Returns the text of the next token.

        It tells the prompt, the run and the index, so that a reader can see
        where a token comes from.
        """
        return f"{self._digest}.{self._run_mark}-{len(self.texts)} "


def prompt_mark(prompt: str) -> str:
    """Returns the mark that tokens of a prompt carry."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:6]


def _wanted_length(prompt: str, digest: str) -> int:
    marked = _LENGTH_MARK.search(prompt)
    if marked:
        return int(marked.group(1))
    span = _MAX_LENGTH_TOKENS - _MIN_LENGTH_TOKENS
    return _MIN_LENGTH_TOKENS + int(digest, 16) % span
