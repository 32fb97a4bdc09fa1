"""Outcome of one request as its caller sees it."""

import dataclasses

from bench import workload


@dataclasses.dataclass
class Outcome:
    """Times and counts of one request.

    Attributes:
        arrival: The request.
        sent_count: Number of times the caller sent the request.
        refused_count: Number of refusals.
        first_token_s: Time at which the engine generated the first token.
        last_token_s: Time at which the engine generated the latest token.
        finished_s: Time at which the caller had the complete answer.
        gaps_s: Intervals between consecutive tokens, in seconds.
        cross_region_bytes: Bytes sent between regions.
        prompt_tokens: Prompt tokens, counted once per run on an engine.
        cached_tokens: Prompt tokens found in the prefix cache.
        lost: Whether the generation was lost before its end.
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
        """Records that the engine generated a token."""
        if self.first_token_s is None:
            self.first_token_s = now_s
        else:
            self.gaps_s.append(now_s - self.last_token_s)
        self.last_token_s = now_s
