"""Policy for the endpoints of one shard."""

from collections.abc import Sequence
import itertools
import random

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.admission import fair_ranks
from bronzeslip.placement import backlog_forecast
from bronzeslip.placement import client_patience
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_decision
from bronzeslip.placement import placement_option
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import reserved_capacity
from bronzeslip.placement import waiting_request
from bronzeslip.placement import waiting_requests
from bronzeslip.quota import return_schedule

logger = logs.get_logger(__name__)

# One second of waiting compensates this much engine time between workspaces;
# the default of --queue-ageing-ratio.
_AGEING_RATIO = 0.5
# While requests wait, one in this many placements goes to an overdue request
# whatever its priority, so that no priority starves.
_AGED_INTERVAL_PLACEMENTS = 8
# Requests first in order for which capacity is reserved; a request behind more
# of them is not placed. Bounds the work for one ask.
_MAX_RESERVATIONS = 32
# Requests first in order ask again soon, so that little of the capacity
# reserved for them is idle; those further back ask less often. A request that
# does not ask for twice this time is gone, so that a call between regions fits.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.25
_RETRY_STEP_S = 0.01
# Part of a retry time that is random, so that gateways do not ask together.
_RETRY_JITTER_SHARE = 0.2
# A waiting request is gone after this many retry times without an ask.
_EXPIRATION_RETRIES = 2.0
_MIN_REFUSAL_RETRY_S = 0.5
# Smaller differences of costs are below the accuracy of the forecasts.
_EQUAL_COST_S = 0.005
_NO_WORKSPACE = ids.WorkspaceId("")
# Prompts of no stated length would all be told the same retry time.
_MIN_PROMPT_TOKENS = 100
# Forecasts are infinite while nothing is placed.
_MAX_REFUSAL_RETRY_S = 10.0


class ShardPolicy:
    """Places, defers or refuses the generations of one shard."""

    def __init__(self, prefill_tokens_per_s: float, rng: random.Random) -> None:
        """Creates a policy without waiting requests.

        Args:
            prefill_tokens_per_s: Prompt tokens that an engine processes per
                second while it also decodes.
            rng: Source of random retry times.
        """
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._rng = rng
        self._ranks = fair_ranks.FairRanks(_AGEING_RATIO)
        self._returns = return_schedule.ReturnSchedule()
        self._aged_id: ids.RequestId | None = None
        self._placed_since_aged = 0
        self._largest_free_tokens = 0
        self.waiting = waiting_requests.WaitingRequests()
        self._backlog = backlog_forecast.BacklogForecast(self.waiting)

    def decide(
        self,
        ask: placement_ask.PlacementAsk,
        options: Sequence[placement_option.PlacementOption],
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        """Decides on a generation that asks for a placement."""
        self.waiting.remove_expired(now_s)
        self._backlog.refresh(now_s)
        least_wait_s = min(option.wait_s for option in options)
        overrun_s = least_wait_s - client_patience.remaining_s(ask)
        if overrun_s > 0:
            return self._refuse(ask, len(options), overrun_s, now_s)
        waiting = self._create_waiting(ask, options, now_s)
        ahead = list(
            itertools.islice(
                self.waiting.ahead_of(waiting), _MAX_RESERVATIONS + 1
            )
        )
        selected = self._select(waiting, options, ahead)
        if selected is not None:
            return self._place(waiting, selected, now_s)
        overrun_s = self._backlog.overrun_s(waiting, least_wait_s, now_s)
        if overrun_s > 0:
            return self._refuse(ask, len(options), overrun_s, now_s)
        return self._defer(waiting, len(ahead), now_s)

    def _create_waiting(
        self,
        ask: placement_ask.PlacementAsk,
        options: Sequence[placement_option.PlacementOption],
        now_s: float,
    ) -> waiting_request.WaitingRequest:
        previous = self.waiting.get(ask.request_id)
        if previous is None:
            cost_s = ask.expected_tokens / self._prefill_tokens_per_s
            arrived_s = now_s - ask.waited_s
            # Public routes have no workspace; their clients share one rank.
            workspace_id = ask.workspace or _NO_WORKSPACE
            rank = self._ranks.assign(workspace_id, cost_s, arrived_s)
        else:
            rank = previous.rank
        waiting = waiting_request.WaitingRequest(
            ask,
            rank,
            min(option.wait_s for option in options) <= ask.objective_left_s,
            frozenset(option.endpoint_id for option in options),
        )
        if waiting.is_overdue and self._take_aged_turn(ask.request_id):
            return msgspec.structs.replace(waiting, is_aged=True)
        return waiting

    def _take_aged_turn(self, request_id: ids.RequestId) -> bool:
        """Returns whether an overdue request is next whatever its priority."""
        if self._aged_id is not None and self.waiting.get(self._aged_id):
            return self._aged_id == request_id
        if self._placed_since_aged < _AGED_INTERVAL_PLACEMENTS - 1:
            return False
        self._aged_id = request_id
        return True

    def _select(
        self,
        waiting: waiting_request.WaitingRequest,
        options: Sequence[placement_option.PlacementOption],
        ahead: Sequence[waiting_request.WaitingRequest],
    ) -> placement_option.PlacementOption | None:
        """Returns the endpoint for a request, or None if it has to wait."""
        if len(ahead) > _MAX_RESERVATIONS:
            return None
        self._largest_free_tokens = max(
            self._largest_free_tokens,
            *(option.free_tokens for option in options),
        )
        capacity = reserved_capacity.ReservedCapacity(
            options, self._prefill_tokens_per_s, self._largest_free_tokens
        )
        for other in ahead:
            capacity.reserve(other)
        max_wait_s = (
            waiting.ask.objective_left_s
            if waiting.can_be_in_time
            else client_patience.remaining_s(waiting.ask)
        )
        candidates = [
            option
            for option in reserved_capacity.fitting_options(
                capacity.options, waiting
            )
            if option.wait_s <= max_wait_s
        ]
        if not candidates:
            return None
        limit_s = _EQUAL_COST_S + min(option.cost_s for option in candidates)
        return self._rng.choice(
            [option for option in candidates if option.cost_s < limit_s]
        )

    def _place(
        self,
        waiting: waiting_request.WaitingRequest,
        selected: placement_option.PlacementOption,
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        self.waiting.remove(waiting.request_id)
        self._ranks.record_start(waiting.rank, now_s)
        self._backlog.record_placed(waiting, now_s)
        self._placed_since_aged += bool(len(self.waiting))
        if waiting.is_aged:
            self._aged_id = None
            self._placed_since_aged = 0
        return placement_decision.PlacementDecision(
            placement_verdict.PlacementVerdict.PLACED, selected.endpoint_id
        )

    def _defer(
        self,
        waiting: waiting_request.WaitingRequest,
        count_ahead: int,
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        retry_s = min(_MIN_RETRY_S + _RETRY_STEP_S * count_ahead, _MAX_RETRY_S)
        if waiting.is_held_back:
            overdue_in_s = client_patience.overdue_in_s(waiting.ask)
            retry_s = min(retry_s, max(overdue_in_s, _MIN_RETRY_S))
        retry_s *= 1 - _RETRY_JITTER_SHARE * self._rng.random()
        expires_s = now_s + _EXPIRATION_RETRIES * retry_s
        self.waiting.put(msgspec.structs.replace(waiting, expires_s=expires_s))
        return placement_decision.PlacementDecision(
            placement_verdict.PlacementVerdict.DEFERRED, retry_after_s=retry_s
        )

    def _refuse(
        self,
        ask: placement_ask.PlacementAsk,
        endpoint_count: int,
        overrun_s: float,
        now_s: float,
    ) -> placement_decision.PlacementDecision:
        """Refuses a request whose client would give up before it starts.

        Refused clients return one after the other, as fast as the endpoints
        process prompts of this length.
        """
        self.waiting.remove(ask.request_id)
        prompt_tokens = max(ask.prompt_tokens, _MIN_PROMPT_TOKENS)
        prefill_s = prompt_tokens / self._prefill_tokens_per_s
        retry_s = self._returns.next_delay_s(
            min(max(overrun_s, _MIN_REFUSAL_RETRY_S), _MAX_REFUSAL_RETRY_S),
            prefill_s / endpoint_count,
            now_s,
        )
        logger.info(
            "placement.refused",
            request=ask.request_id,
            overrun_s=round(overrun_s, 3),
            waiting=len(self.waiting),
            retry_after_s=round(retry_s, 3),
        )
        return placement_decision.PlacementDecision(
            placement_verdict.PlacementVerdict.REFUSED, retry_after_s=retry_s
        )
