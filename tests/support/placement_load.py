"""Load patterns of generations before engines in virtual time."""

import collections
import heapq
import itertools
import operator
import random

from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_decision
from bronzeslip.placement import placement_policy
from bronzeslip.placement import placement_verdict
from tests.support import virtual_engines

PLACED = placement_verdict.PlacementVerdict.PLACED
DEFERRED = placement_verdict.PlacementVerdict.DEFERRED
REFUSED = placement_verdict.PlacementVerdict.REFUSED
_POLL_S = 0.3
_REPEAT_S = 0.05


def create_policy():
    """Returns a policy with fixed random retry times."""
    return placement_policy.PlacementPolicy(rng=random.Random(1))


class LeastCost:
    """Places each generation at the lowest cost at once, for comparison."""

    def decide(self, ask, options, now_s):
        selected = min(options, key=operator.attrgetter("cost_s"))
        return placement_decision.PlacementDecision(
            PLACED, selected.endpoint_id
        )


class PlacementLoad:
    """Requests that arrive, ask a policy, and run on engines.

    Attributes:
        requests: All requests, including those that were repeated.
        decisions: Time, ask and decision of each ask.
        repeating_workspace: Workspace whose clients repeat refused requests
            almost at once.
    """

    def __init__(self, policy, engines=6, regions=("here",), lag_s=0.5, seed=1):
        self.policy, self.lag_s, self.rng = policy, lag_s, random.Random(seed)
        self.engines = {
            f"e{number}": virtual_engines.Engine(
                f"e{number}", regions[number % len(regions)]
            )
            for number in range(engines)
        }
        self.requests, self.decisions = [], []
        self.repeating_workspace = None
        self._events, self._count = [], itertools.count()

    def arrive(self, time_s, is_long=False, **changes):
        output = (500 if is_long else 40) * self.rng.uniform(0.5, 1.5)
        values = {
            "prompt_tokens": int(
                (3_300 if is_long else 2_500) * self.rng.uniform(0.5, 1.5)
            ),
            "output_tokens": int(output),
            "expected_output_tokens": 500 if is_long else 40,
            "objective_s": 1.8 if is_long else 1.5,
            "timeout_s": 60.0,
        }
        request = virtual_engines.Request(time_s, **{**values, **changes})
        self.requests.append(request)
        self._push(time_s, request)

    def arrive_at_rate(self, rate_of, start_s, end_s, **changes):
        """Lets requests arrive at random; half of them are long."""
        time_s = start_s
        while (time_s := time_s + 0.01) < end_s:
            if self.rng.random() < 0.01 * rate_of(time_s):
                is_long = self.rng.random() < 0.5
                self.arrive(time_s, **{"is_long": is_long, **changes})

    def play(self, end_s):
        for number in range(int(end_s / _POLL_S)):
            self._push(number * _POLL_S, None)
        while self._events and self._events[0][0] < end_s:
            now_s, _, request = heapq.heappop(self._events)
            for engine in self.engines.values():
                engine.advance(now_s)
                if request is None:
                    engine.poll(now_s)
            if request is not None:
                self._ask(request, now_s)
        for engine in self.engines.values():
            engine.advance(end_s)

    def outcomes(self, **values):
        """Counts outcomes of the requests with the given attributes."""
        return collections.Counter(
            request.outcome
            for request in self.requests
            if all(getattr(request, key) == values[key] for key in values)
        )

    def share_in_time(self, **values):
        counts = self.outcomes(**values)
        return counts["in time"] / counts.total()

    def _push(self, time_s, request):
        heapq.heappush(self._events, (time_s, next(self._count), request))

    def _ask(self, request, now_s):
        if now_s > request.gives_up_s:
            request.outcome = "gave up"
            return
        waited_s = now_s - request.arrived_s
        ask = placement_ask.PlacementAsk(
            service="s",
            shard_index=0,
            shard_count=1,
            request_id=str(id(request)),
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            output_tokens=request.expected_output_tokens,
            is_long=request.expected_output_tokens > 100,
            priority=request.priority,
            workspace=request.workspace,
            remaining_s=request.timeout_s - waited_s,
            objective_left_s=request.objective_s - waited_s,
            waited_s=waited_s,
        )
        options = [
            engine.option(request, now_s, self.lag_s)
            for engine in self.engines.values()
            if request.regions is None or engine.region in request.regions
        ]
        decision = self.policy.decide(ask, options, now_s)
        self.decisions.append((now_s, ask, decision))
        if decision.verdict is PLACED:
            self.engines[decision.endpoint_id].add(request, now_s)
        elif decision.verdict is DEFERRED:
            self._push(now_s + decision.retry_after_s, request)
        else:
            self._refuse(request, now_s)

    def _refuse(self, request, now_s):
        request.outcome = "refused"
        if request.workspace == self.repeating_workspace:
            self.arrive(
                now_s + _REPEAT_S,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                objective_s=request.objective_s,
                workspace=request.workspace,
            )
