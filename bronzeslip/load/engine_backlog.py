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
    """

    requests: tuple[in_flight_requests.InFlightRequest, ...]
    unknown_waiting: int = 0

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
    return EngineBacklog((*known_waiting, *newer), waiting - len(known_waiting))


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
