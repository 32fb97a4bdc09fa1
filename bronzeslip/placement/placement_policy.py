"""Policy of the placement coordinator."""

from collections.abc import Sequence
import operator

from bronzeslip import ids
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_decision
from bronzeslip.placement import placement_option
from bronzeslip.placement import placement_verdict


class PlacementPolicy:
    """Decides whether and where a generation is placed."""

    def decide(
        self,
        ask: placement_ask.PlacementAsk,
        options: Sequence[placement_option.PlacementOption],
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        """Decides on a generation that asks for a placement.

        Args:
            ask: The generation.
            options: Forecasts of the candidate endpoints, at least one.
            now_s: Current time on a monotonic clock, in seconds.
        """
        del ask, now_s  # The lowest cost is selected until limits are added.
        selected = min(options, key=operator.attrgetter("cost_s"))
        return placement_decision.PlacementDecision(
            placement_verdict.PlacementVerdict.PLACED, selected.endpoint_id
        )

    def forget(self, request_id: ids.RequestId) -> None:
        """Forgets a request that no longer waits, e.g. for its client left."""
