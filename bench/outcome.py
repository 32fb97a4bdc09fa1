"""What one caller saw of one request."""

import dataclasses

from bench import workload


@dataclasses.dataclass
class Outcome:
    """Times of one request.

    Attributes:
        arrival: The request.
        sent_count: Times that the caller sent it.
        refused_count: Refusals that the caller got.
        first_token_s: When the engine made the first token.
        last_token_s: When it made the latest.
        finished_s: When the caller had the whole answer.
        gaps_s: Times between tokens.
        cross_region_bytes: Bytes that went between regions.
        prompt_tokens: Tokens of the prompt, once for each run.
        cached_tokens: Those found in the prefix cache.
        lost: Whether the answer broke off.
    """

    arrival: workload.Arrival
    sent_count: int = 0
    refused_count: int = 0
    first_token_s: float | None = None
    last_token_s: float = 0.0
    finished_s: float | None = None
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    cross_region_bytes: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    lost: bool = False

    def add_token(self, now_s: float) -> None:
        """Notes that the engine made a token."""
        if self.first_token_s is None:
            self.first_token_s = now_s
        else:
            self.gaps_s.append(now_s - self.last_token_s)
        self.last_token_s = now_s
