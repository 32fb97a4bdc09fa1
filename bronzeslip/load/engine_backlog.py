"""Requests at an engine that its latest report does not show as running."""

from collections.abc import Iterable

import msgspec

from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache


class EngineBacklog(msgspec.Struct, frozen=True):
    """Requests that an engine has received or will receive.

    Attributes:
        requests: Known requests, each once, in the order in which they were
            sent.
        unknown_waiting: Number of queued requests whose size is not known.
        state_s: Time of the state that the report describes on the event
            loop's clock, in seconds, or None without a report.
    """

    requests: tuple[in_flight_requests.InFlightRequest, ...]
    unknown_waiting: int = 0
    state_s: float | None = None

    @property
    def count(self) -> int:
        """Number of requests."""
        return len(self.requests) + self.unknown_waiting

    @property
    def expected_tokens(self) -> int:
        """Expected memory use of the known requests, in tokens."""
        return sum(request.expected_tokens for request in self.requests)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompts of the known requests, in tokens."""
        return sum(request.prompt_tokens for request in self.requests)

    def remaining_tokens(
        self, reported_tokens: float, rate_per_s: float, now_s: float
    ) -> float:
        """Returns the prompt tokens that an engine still has to process now.

        Args:
            reported_tokens: Prompt tokens that it had to process at the time
                of its report, without those of the known requests.
            rate_per_s: Prompt tokens that it processes per second.
            now_s: Time on the event loop's clock, in seconds.
        """
        remaining = reported_tokens
        last_s = now_s if self.state_s is None else self.state_s
        if self.state_s is None and self.requests:
            last_s = self.requests[0].sent_s
        for request in self.requests:
            elapsed_s = max(request.sent_s - last_s, 0.0)
            remaining = max(remaining - elapsed_s * rate_per_s, 0.0)
            remaining += request.prompt_tokens
            last_s = max(request.sent_s, last_s)
        return max(remaining - max(now_s - last_s, 0.0) * rate_per_s, 0.0)


def create(
    own: Iterable[in_flight_requests.InFlightRequest],
    placed: Iterable[in_flight_requests.InFlightRequest],
    latest: report_cache.DatedReport | None,
) -> EngineBacklog:
    """Creates the backlog of an engine.

    A report states the ids of the running requests but only the number of the
    queued ones. Known requests that are older than the report and are not
    running are taken for queued ones, the newest first.

    Args:
        own: Requests of this gateway in flight at the engine.
        placed: Placements at the engine, which may include these.
        latest: Latest report of the engine, or None without one.
    """
    requests = _merge(own, placed)
    if latest is None:
        return EngineBacklog(tuple(requests))
    running = {run.request_id for run in latest.report.runs}
    requests = [
        request for request in requests if request.request_id not in running
    ]
    state_s = latest.state_s
    newer = [request for request in requests if request.sent_s > state_s]
    older = [request for request in requests if request.sent_s <= state_s]
    waiting = latest.report.waiting
    known_waiting = older[-waiting:] if waiting else []
    return EngineBacklog(
        (*known_waiting, *newer), waiting - len(known_waiting), state_s
    )


def _merge(
    own: Iterable[in_flight_requests.InFlightRequest],
    placed: Iterable[in_flight_requests.InFlightRequest],
) -> list[in_flight_requests.InFlightRequest]:
    """Returns each request once, in the order in which they were sent."""
    own = tuple(own)
    # Requests without an id are this gateway's.
    own_ids = {request.request_id for request in own}
    others = (
        request for request in placed if request.request_id not in own_ids
    )
    return sorted((*own, *others), key=lambda request: request.sent_s)
