"""Continuous batching with limited memory, one step at a time."""

import dataclasses

from standins.engine import prefix_cache
from standins.engine import sequence


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """Size and speed of an engine.

    Attributes:
        blocks_total: Cache blocks.
        block_tokens: Tokens that a block holds.
        max_batch: Most sequences in a step.
        step_base_s: Time of a step with one sequence, in seconds.
        step_per_sequence_s: More time for each further one, in seconds.
        step_per_prefill_token_s: More time for each prompt token, in seconds.
        prefill_tokens_per_step: Prompt tokens computed in a step.
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
    """State of an engine between steps; it keeps no clock."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.cache = prefix_cache.PrefixCache(
            shape.prefix_blocks, shape.block_tokens
        )
        self.waiting: list[sequence.Sequence] = []
        self.running: list[sequence.Sequence] = []
        self.preemptions_total = 0
        self.blocks_used = 0

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self.waiting and not self.running

    def fits(self, wanted: sequence.Sequence) -> bool:
        """Whether the memory holds the prompt and a token."""
        needed = self._blocks_for(len(wanted.prompt_words) + 1)
        return needed <= self.shape.blocks_total

    def add(self, added: sequence.Sequence) -> None:
        """Queues a sequence, cut to what the memory can hold."""
        most = self.shape.blocks_total * self.shape.block_tokens - 1
        added.cut(most - len(added.prompt_words))
        self.waiting.append(added)
        if not self.running:
            self._admit()

    def remove(self, removed: sequence.Sequence) -> None:
        """Takes a sequence out, wherever it is."""
        for group in (self.waiting, self.running):
            if removed in group:
                group.remove(removed)
        self.blocks_used -= removed.blocks_held
        removed.blocks_held = 0

    def step_time_s(self) -> float:
        """Returns how long the next step takes, in seconds."""
        shape = self.shape
        others = max(len(self.running) - 1, 0)
        prefill_left = sum(c.prefill_left_tokens for c in self.running)
        prefill = min(shape.prefill_tokens_per_step, prefill_left)
        return (
            shape.step_base_s
            + shape.step_per_sequence_s * others
            + shape.step_per_prefill_token_s * prefill
        )

    def step(self) -> list[sequence.Sequence]:
        """Runs one step; returns the sequences that got a token."""
        self._prefill()
        ready = [c for c in self.running if c.prefill_left_tokens == 0]
        produced = []
        for current in sorted(ready, key=lambda c: -c.priority):
            if self._grow(current):
                current.texts.append(current.next_text())
                produced.append(current)
        for current in produced:
            if len(current.texts) >= current.length_tokens:
                current.state = sequence.SequenceState.FINISHED
                self.remove(current)
        self._admit()
        return produced

    def _admit(self) -> None:
        self.waiting.sort(key=lambda c: -c.priority)
        while self.waiting and len(self.running) < self.shape.max_batch:
            current = self.waiting[0]
            needed = self._blocks_for(current.context_tokens + 1)
            if self.blocks_used + needed > self.shape.blocks_total:
                return
            self.waiting.pop(0)
            cached = self.cache.match(current.prompt_words)
            current.cached_prompt_tokens = cached
            current.prefill_left_tokens = current.context_tokens - cached
            self._hold(current, needed)
            current.state = sequence.SequenceState.RUNNING
            self.running.append(current)

    def _prefill(self) -> None:
        budget = self.shape.prefill_tokens_per_step
        for current in self.running:
            if current.prefill_left_tokens == 0 or budget == 0:
                continue
            done = min(budget, current.prefill_left_tokens)
            current.prefill_left_tokens -= done
            budget -= done
            if current.prefill_left_tokens == 0:
                self.cache.store(current.prompt_words)

    def _grow(self, current: sequence.Sequence) -> bool:
        if current.state is not sequence.SequenceState.RUNNING:
            return False
        needed = self._blocks_for(current.context_tokens + 1)
        while needed > current.blocks_held:
            if self.blocks_used < self.shape.blocks_total:
                self._hold(current, 1)
                continue
            victim = min(
                reversed(self.running), key=lambda other: other.priority
            )
            self._preempt(victim)
            if victim is current:
                return False
        return True

    def _hold(self, current: sequence.Sequence, blocks: int) -> None:
        current.blocks_held += blocks
        self.blocks_used += blocks

    def _preempt(self, victim: sequence.Sequence) -> None:
        self.remove(victim)
        victim.state = sequence.SequenceState.WAITING
        victim.preemption_count += 1
        self.preemptions_total += 1
        self.waiting.insert(0, victim)

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.shape.block_tokens)
