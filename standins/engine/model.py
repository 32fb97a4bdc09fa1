"""Model of continuous batching with a limited number of cache blocks."""

import dataclasses

from standins.engine import prefix_cache
from standins.engine import sequence


@dataclasses.dataclass(frozen=True)
class EngineParameters:
    """Capacity and step times of an engine.

    Attributes:
        blocks_total: Number of cache blocks.
        block_tokens: Tokens per cache block.
        max_batch: Maximum number of sequences in a step.
        step_base_s: Duration of a step with one sequence, in seconds.
        step_per_sequence_s: Duration that each additional sequence adds, in
            seconds.
        step_per_prefill_token_s: Duration that each prefilled token adds, in
            seconds.
        prefill_tokens_per_step: Maximum number of tokens prefilled in a step.
        prefix_blocks: Capacity of the prefix cache, in blocks.
    """

    blocks_total: int = 2048
    block_tokens: int = 16
    max_batch: int = 64
    step_base_s: float = 0.01
    step_per_sequence_s: float = 0.0002
    step_per_prefill_token_s: float = 0.0
    prefill_tokens_per_step: int = 512
    prefix_blocks: int = 512


class EngineModel:
    """State of an engine between steps.

    The model has no clock: the caller sleeps for step_time_s() and then calls
    step().
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.cache = prefix_cache.PrefixCache(
            parameters.prefix_blocks, parameters.block_tokens
        )
        self.waiting: list[sequence.Sequence] = []
        self.running: list[sequence.Sequence] = []
        self.preemptions_total = 0
        self.blocks_used = 0

    @property
    def is_idle(self) -> bool:
        """Whether no sequence is waiting or running."""
        return not self.waiting and not self.running

    def fits(self, candidate: sequence.Sequence) -> bool:
        """Returns whether the prompt and one token fit into the cache."""
        needed_blocks = self._blocks_needed(len(candidate.prompt_words) + 1)
        return needed_blocks <= self.parameters.blocks_total

    def add(self, new_sequence: sequence.Sequence) -> None:
        """Queues a sequence and limits its output to the size of the cache."""
        max_context_tokens = (
            self.parameters.blocks_total * self.parameters.block_tokens - 1
        )
        new_sequence.limit_length(
            max_context_tokens - len(new_sequence.prompt_words)
        )
        self.waiting.append(new_sequence)
        if not self.running:
            self._admit()

    def remove(self, removed: sequence.Sequence) -> None:
        """Removes a waiting or running sequence and frees its blocks."""
        for group in (self.waiting, self.running):
            if removed in group:
                group.remove(removed)
        self.blocks_used -= removed.allocated_blocks
        removed.allocated_blocks = 0

    def step_time_s(self) -> float:
        """Returns the duration of the next step, in seconds."""
        parameters = self.parameters
        additional_sequences = max(len(self.running) - 1, 0)
        total_remaining_tokens = sum(
            c.remaining_prefill_tokens for c in self.running
        )
        prefill_tokens = min(
            parameters.prefill_tokens_per_step, total_remaining_tokens
        )
        return (
            parameters.step_base_s
            + parameters.step_per_sequence_s * additional_sequences
            + parameters.step_per_prefill_token_s * prefill_tokens
        )

    def step(self) -> list[sequence.Sequence]:
        """Runs one step and returns the sequences that got a token."""
        self._prefill()
        ready = [c for c in self.running if c.remaining_prefill_tokens == 0]
        advanced = []
        for current in sorted(ready, key=lambda c: -c.priority):
            if self._allocate_next_token(current):
                current.texts.append(current.next_token_text())
                advanced.append(current)
        for current in advanced:
            if len(current.texts) >= current.output_length_tokens:
                current.state = sequence.SequenceState.FINISHED
                self.remove(current)
        self._admit()
        return advanced

    def _admit(self) -> None:
        self.waiting.sort(key=lambda c: -c.priority)
        while self.waiting and len(self.running) < self.parameters.max_batch:
            current = self.waiting[0]
            needed_blocks = self._blocks_needed(current.context_tokens + 1)
            if self.blocks_used + needed_blocks > self.parameters.blocks_total:
                return
            self.waiting.pop(0)
            cached_tokens = self.cache.match_prefix(current.prompt_words)
            current.cached_prompt_tokens = cached_tokens
            current.remaining_prefill_tokens = (
                current.context_tokens - cached_tokens
            )
            self._allocate_blocks(current, needed_blocks)
            current.state = sequence.SequenceState.RUNNING
            self.running.append(current)

    def _prefill(self) -> None:
        token_budget = self.parameters.prefill_tokens_per_step
        for current in self.running:
            if current.remaining_prefill_tokens == 0 or token_budget == 0:
                continue
            prefilled_tokens = min(
                token_budget, current.remaining_prefill_tokens
            )
            current.remaining_prefill_tokens -= prefilled_tokens
            token_budget -= prefilled_tokens
            if current.remaining_prefill_tokens == 0:
                self.cache.store(current.prompt_words)

    def _allocate_next_token(self, current: sequence.Sequence) -> bool:
        if current.state is not sequence.SequenceState.RUNNING:
            return False
        needed_blocks = self._blocks_needed(current.context_tokens + 1)
        while needed_blocks > current.allocated_blocks:
            if self.blocks_used < self.parameters.blocks_total:
                self._allocate_blocks(current, 1)
                continue
            victim = min(
                reversed(self.running), key=lambda other: other.priority
            )
            self._preempt(victim)
            if victim is current:
                return False
        return True

    def _allocate_blocks(self, current: sequence.Sequence, blocks: int) -> None:
        current.allocated_blocks += blocks
        self.blocks_used += blocks

    def _preempt(self, victim: sequence.Sequence) -> None:
        self.remove(victim)
        victim.state = sequence.SequenceState.WAITING
        victim.preemption_count += 1
        self.preemptions_total += 1
        self.waiting.insert(0, victim)

    def _blocks_needed(self, tokens: int) -> int:
        return -(-tokens // self.parameters.block_tokens)
