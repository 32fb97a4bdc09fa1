"""Capacity that is left for a generation behind other waiting ones."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

import msgspec

from bronzeslip import ids
from bronzeslip.placement import placement_option
from bronzeslip.placement import waiting_request

# Share of the endpoints that may drain for requests that fit nowhere. Fewer
# refuse more of the large prompts, more idle memory that other requests could
# use: of 71 prompts of 16,000 tokens on the fake of six engines, 15, 9 and 6
# were refused with a quarter, a third and a half, and 0.84, 0.80 and 0.79 of
# the ordinary requests beside them were in time.
_MAX_DRAINING_SHARE = 1 / 3
# Prompts that an engine processes before a late request starts there, in
# seconds; longer queues would delay requests that can still be in time.
_MAX_LATE_QUEUE_S = 0.1


class ReservedCapacity:
    """Subtracts the waiting requests that are first in order from options."""

    def __init__(
        self,
        options: Sequence[placement_option.PlacementOption],
        prefill_tokens_per_s: float,
        max_drain_tokens: int,
    ) -> None:
        """Creates the capacity before any reservation.

        Args:
            options: Forecasts of the candidate endpoints.
            prefill_tokens_per_s: Prompt tokens that an engine processes per
                second while it also decodes.
            max_drain_tokens: Largest request that an endpoint may drain for;
                a larger one might fit nowhere however long it drains.
        """
        self._options = {option.endpoint_id: option for option in options}
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._max_drain_tokens = max_drain_tokens
        self._drains_left = max(int(_MAX_DRAINING_SHARE * len(options)), 1)

    @property
    def options(self) -> Iterable[placement_option.PlacementOption]:
        """Options that are left."""
        return self._options.values()

    def reserve(self, waiting: waiting_request.WaitingRequest) -> None:
        """Reserves capacity for one request.

        If it fits nowhere, the endpoint with the most free memory drains for
        it, since otherwise smaller requests would always take the memory that
        becomes free.
        """
        usable = [
            self._options[endpoint_id]
            for endpoint_id in waiting.endpoint_ids
            if endpoint_id in self._options
        ]
        fitting = fitting_options(usable, waiting)
        if fitting:
            self._subtract(min(fitting, key=_queue_order), waiting)
        elif usable and self._may_drain_for(waiting):
            self._drains_left -= 1
            drained = max(usable, key=_memory_order)
            del self._options[drained.endpoint_id]

    def _may_drain_for(self, waiting: waiting_request.WaitingRequest) -> bool:
        return (
            self._drains_left > 0
            and not waiting.is_held_back
            and waiting.ask.expected_tokens <= self._max_drain_tokens
        )

    def _subtract(
        self,
        option: placement_option.PlacementOption,
        waiting: waiting_request.WaitingRequest,
    ) -> None:
        prefill_s = waiting.ask.prompt_tokens / self._prefill_tokens_per_s
        self._options[option.endpoint_id] = msgspec.structs.replace(
            option,
            cost_s=option.cost_s + prefill_s,
            wait_s=option.wait_s + prefill_s,
            free_tokens=option.free_tokens - waiting.ask.expected_tokens,
            queued_prefill_s=option.queued_prefill_s + prefill_s,
        )


def fitting_options(
    options: Iterable[placement_option.PlacementOption],
    waiting: waiting_request.WaitingRequest,
) -> list[placement_option.PlacementOption]:
    """Returns the endpoints that a request may be placed at."""
    expected_tokens = waiting.ask.expected_tokens
    max_queue_s = _MAX_LATE_QUEUE_S if waiting.is_held_back else math.inf
    return [
        option
        for option in options
        if option.free_tokens >= expected_tokens
        and option.queued_prefill_s < max_queue_s
    ]


def _queue_order(
    option: placement_option.PlacementOption,
) -> tuple[float, ids.EndpointId]:
    return option.queued_prefill_s, option.endpoint_id


def _memory_order(
    option: placement_option.PlacementOption,
) -> tuple[int, ids.EndpointId]:
    return option.free_tokens, option.endpoint_id
