"""Policy of the placement coordinator."""

from collections.abc import Sequence
import random

from bronzeslip import ids
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_decision
from bronzeslip.placement import placement_option
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import shard_policy

# Observed rate of an engine that also decodes; 14,000 alone.
_PREFILL_TOKENS_PER_S = 7_000.0
# Shards change with the number of endpoints; the least recently asked for are
# forgotten.
_MAX_SHARDS = 64

_ShardKey = tuple[ids.ServiceName, int, int]


class PlacementPolicy:
    """Decides whether and where a generation is placed."""

    def __init__(
        self,
        prefill_tokens_per_s: float = _PREFILL_TOKENS_PER_S,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a policy without waiting requests.

        Args:
            prefill_tokens_per_s: Prompt tokens that an engine processes per
                second while it also decodes.
            rng: Source of random retry times.
        """
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._rng = rng or random.Random()
        self._shards: dict[_ShardKey, shard_policy.ShardPolicy] = {}

    def decide(
        self,
        ask: placement_ask.PlacementAsk,
        options: Sequence[placement_option.PlacementOption],
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        """Decides on a generation that asks for a placement.

        Args:
            ask: The generation.
            options: Forecasts of the candidate endpoints. Without any, the
                gateway has to decide itself.
            now_s: Current time on a monotonic clock, in seconds.
        """
        if not options:
            return placement_decision.PlacementDecision(
                placement_verdict.PlacementVerdict.NOT_RESPONSIBLE
            )
        return self._shard_of(ask).decide(ask, options, now_s)

    def forget(self, request_id: ids.RequestId) -> None:
        """Forgets a request that no longer waits, e.g. for its client left."""
        for shard in self._shards.values():
            shard.waiting.remove(request_id)

    def _shard_of(
        self, ask: placement_ask.PlacementAsk
    ) -> shard_policy.ShardPolicy:
        key = (ask.service, ask.shard_index, ask.shard_count)
        shard = self._shards.pop(key, None)
        if shard is None:
            shard = shard_policy.ShardPolicy(
                self._prefill_tokens_per_s, self._rng
            )
        self._shards[key] = shard
        if len(self._shards) > _MAX_SHARDS:
            del self._shards[next(iter(self._shards))]
        return shard
