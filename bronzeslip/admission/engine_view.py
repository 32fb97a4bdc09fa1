"""Sidecar's estimate of the capacity and speed of its engine."""

import collections

from bronzeslip.engine import messages

_DEFAULT_STEP_TIME_S = 0.025
_DEFAULT_BYTES_PER_TOKEN = 4.0
_BYTES_PER_TOKEN_SMOOTHING = 0.05
_STEP_TIME_SMOOTHING = 0.3
_WINDOW_REPORTS = 8
_MARGIN_PER_PREEMPTION = 0.01
_MAX_MARGIN_RATIO = 0.15
_MARGIN_DECAY_PER_REPORT = 0.97


class EngineView:
    """Combines delayed engine reports with the sidecar's own bookkeeping.

    Attributes:
        memory_tokens: Capacity of the engine's cache, in tokens; infinite
            until the first report.
        block_tokens: Size of one cache block, in tokens.
        step_time_s: Smoothed duration of one engine step, in seconds.
    """

    def __init__(self) -> None:
        self.memory_tokens = float("inf")
        self.block_tokens = 1
        self.step_time_s = _DEFAULT_STEP_TIME_S
        self._bytes_per_token = _DEFAULT_BYTES_PER_TOKEN
        self._own_used_tokens = collections.deque(maxlen=_WINDOW_REPORTS)
        self._external_tokens = 0.0
        self._safety_margin_ratio = 0.0
        self._preemptions_total: int | None = None

    @property
    def usable_tokens(self) -> float:
        """Memory available to the sidecar's own sequences, in tokens."""
        usable = self.memory_tokens - self._external_tokens
        return usable * (1 - self._safety_margin_ratio)

    def apply_report(
        self, report: messages.EngineLoad, own_tokens: float
    ) -> None:
        """Applies a load report; implausible reports are ignored.

        Args:
            report: Report, slightly out of date.
            own_tokens: Current memory use of the sidecar's own sequences, in
                tokens.
        """
        if not _is_plausible(report):
            return
        self.block_tokens = report.block_tokens
        self.memory_tokens = float(report.blocks_total * report.block_tokens)
        self.step_time_s += _STEP_TIME_SMOOTHING * (
            report.step_time_s - self.step_time_s
        )
        self._own_used_tokens.append(own_tokens)
        used_tokens = report.blocks_used * report.block_tokens
        unexplained_tokens = used_tokens - 1.1 * max(self._own_used_tokens)
        self._external_tokens = min(
            max(unexplained_tokens, 0.0), self.memory_tokens / 2
        )
        self._apply_preemptions(report.preemptions_total)

    def observe_prompt(self, prompt_bytes: int, prompt_tokens: int) -> None:
        """Updates the average number of bytes per prompt token."""
        if prompt_tokens > 0:
            observed = prompt_bytes / prompt_tokens
            self._bytes_per_token += _BYTES_PER_TOKEN_SMOOTHING * (
                observed - self._bytes_per_token
            )

    def estimate_prompt_tokens(self, prompt_bytes: int) -> float:
        """Returns the estimated memory use of a prompt, in tokens.

        Half a block is added for the partly filled last block.
        """
        return prompt_bytes / self._bytes_per_token + self.block_tokens / 2

    @property
    def block_bytes(self) -> float:
        """Average number of prompt bytes in one block of the engine's cache."""
        return self.block_tokens * self._bytes_per_token

    def _apply_preemptions(self, total: int) -> None:
        previous_total = (
            total
            if self._preemptions_total is None
            else (self._preemptions_total)
        )
        self._preemptions_total = total
        self._safety_margin_ratio = min(
            self._safety_margin_ratio * _MARGIN_DECAY_PER_REPORT
            + max(total - previous_total, 0) * _MARGIN_PER_PREEMPTION,
            _MAX_MARGIN_RATIO,
        )


def _is_plausible(report: messages.EngineLoad) -> bool:
    return (
        report.blocks_total > 0
        and report.block_tokens > 0
        and report.blocks_used >= 0
        and 0 < report.step_time_s < 10
    )
