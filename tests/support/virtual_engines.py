"""Model engines in virtual time, without network.

Figures of the engines are those of the work plan: prompts are processed in
chunks of 112 tokens (8 ms) between decode steps of 7 ms + 0.12 ms per run.
"""

import dataclasses

from bronzeslip.placement import placement_option

_CHUNK_TOKENS = 112
_CHUNK_S = 0.008
_STEP_S = 0.007
_RUN_STEP_S = 0.00012
_EVENT_TOKENS = 4
_MAX_PAUSE_S = 0.18
_SLOTS = 24
_KV_TOKENS = 26_900
_PREFILL_TOKENS_PER_S = 7_000


@dataclasses.dataclass(eq=False)
class Request:
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int
    objective_s: float = 1.5
    priority: int = 0
    workspace: str = "w"
    timeout_s: float = 60.0
    regions: frozenset | None = None
    to_prefill: int = 0
    generated: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    outcome: str = "open"

    @property
    def expected_tokens(self):
        return self.prompt_tokens + self.expected_output_tokens

    @property
    def gives_up_s(self):
        return self.arrived_s + min(
            max(2, 4 * self.objective_s), self.timeout_s
        )

    def record_event(self, time_s):
        """Late: the first event, or one after too long a pause."""
        if self.first_event_s is None:
            self.first_event_s = time_s
            is_late = time_s > self.arrived_s + self.objective_s
        else:
            is_late = time_s - self.last_event_s > _MAX_PAUSE_S
        self.last_event_s = time_s
        if is_late or self.outcome == "open":
            self.outcome = "late" if is_late else "in time"


class Engine:
    def __init__(self, name, region="here"):
        self.name, self.region = name, region
        self.now_s, self.preemptions = 0.0, 0
        self.queue, self.runs, self.placed = [], [], []
        self.reports = [(-9.0, 0, 0, 0)]

    def add(self, request, now_s):
        request.to_prefill = request.prompt_tokens
        self.queue.append(request)
        self.placed.append((now_s, request))

    def advance(self, until_s):
        while self.now_s < until_s:
            self._drop_abandoned()
            while self.queue and len(self.runs) < _SLOTS and self._fits():
                self.runs.append(self.queue.pop(0))
            self.now_s = self._step() if self.runs else until_s

    def poll(self, now_s):
        load = self.queue + self.runs
        prefill = sum(each.to_prefill for each in load)
        used = self._used() + sum(each.expected_tokens for each in self.queue)
        self.reports.append((now_s, prefill, used, len(load)))

    def option(self, request, now_s, lag_s):
        """Latest report that has arrived, and all placements since."""
        read_s, prefill, tokens, count = next(
            each for each in reversed(self.reports) if each[0] <= now_s - lag_s
        )
        since = [each for time_s, each in self.placed if time_s > read_s]
        prefill += sum(each.prompt_tokens for each in since)
        tokens += sum(each.expected_tokens for each in since)
        queued_s = prefill / _PREFILL_TOKENS_PER_S
        count += len(since) + 1
        wait_s = queued_s + request.prompt_tokens / _PREFILL_TOKENS_PER_S
        pressure = (tokens + request.expected_tokens) / _KV_TOKENS - 0.6
        return placement_option.PlacementOption(
            self.name,
            queued_s + 0.3 * count / _SLOTS + 8 * max(pressure, 0) ** 2,
            wait_s + max(count - _SLOTS, 0) * 0.3,
            _KV_TOKENS - tokens,
            queued_s,
        )

    def _used(self):
        return sum(
            each.prompt_tokens - each.to_prefill + each.generated
            for each in self.runs
        )

    def _fits(self):
        return self._used() + self.queue[0].to_prefill <= _KV_TOKENS

    def _drop_abandoned(self):
        for requests in (self.queue, self.runs):
            for each in tuple(requests):
                if each.first_event_s is None and self.now_s > each.gives_up_s:
                    each.outcome = "gave up"
                    requests.remove(each)

    def _step(self):
        time_s = self.now_s
        prefilling = next((each for each in self.runs if each.to_prefill), None)
        if prefilling:
            done = min(prefilling.to_prefill, _CHUNK_TOKENS)
            prefilling.to_prefill -= done
            time_s += _CHUNK_S
        decoding = [each for each in self.runs if not each.to_prefill]
        time_s += (_STEP_S + _RUN_STEP_S * len(decoding)) * bool(decoding)
        for each in decoding:
            each.generated += 1
            if each.generated % _EVENT_TOKENS == 0:
                each.record_event(time_s)
            if each.generated >= each.output_tokens:
                self.runs.remove(each)
        while self._used() > _KV_TOKENS:
            self._preempt()
        return time_s

    def _preempt(self):
        victim = max(reversed(self.runs), key=lambda each: each.priority)
        self.preemptions += 1
        victim.to_prefill = victim.prompt_tokens + victim.generated
        self.runs.remove(victim)
        self.queue.insert(0, victim)
