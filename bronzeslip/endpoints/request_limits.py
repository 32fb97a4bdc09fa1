"""Limits that endpoints state on the requests of all gateways together."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import limit_statement

logger = logs.get_logger(__name__)

EndedListener = Callable[[endpoint.Endpoint], None]


class RequestLimits:
    """Keeps the latest statement of each endpoint about its limit.

    A limit holds until the endpoint responds without it to a request that was
    sent after the limit had been stated, or until the endpoint restarts.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates limits without any statement.

        Args:
            clock: Clock of the event loop, in seconds.
        """
        self._clock = clock
        self._statements: dict[
            ids.EndpointId,
            tuple[endpoint.Endpoint, limit_statement.LimitStatement],
        ] = {}
        self._ended_listeners: listeners.Listeners[[endpoint.Endpoint]] = (
            listeners.Listeners("limit ended")
        )

    def add_ended_listener(self, listener: EndedListener) -> None:
        """Registers a callback for limits that this gateway saw end."""
        self._ended_listeners.add(listener)

    def state(self, target: endpoint.Endpoint, rate_per_s: float) -> None:
        """Records that an endpoint stated a limit just now."""
        self.merge(
            target, limit_statement.LimitStatement(rate_per_s, self._clock())
        )

    def end(self, target: endpoint.Endpoint, sent_s: float) -> None:
        """Records a response without a limit.

        Args:
            target: Endpoint that sent the response.
            sent_s: Time at which the request was sent, on the event loop's
                clock, in seconds.
        """
        if self.rate_of(target) is None:
            return
        self.merge(target, limit_statement.LimitStatement(None, sent_s))
        if self.rate_of(target) is None:
            self._ended_listeners.notify(target)

    def merge(
        self,
        target: endpoint.Endpoint,
        statement: limit_statement.LimitStatement,
    ) -> None:
        """Records a statement unless a later one is known."""
        previous = self.latest(target)
        if previous is not None and previous.stated_s >= statement.stated_s:
            return
        self._statements[target.endpoint_id] = (target, statement)
        previous_rate_per_s = None if previous is None else previous.rate_per_s
        if statement.rate_per_s != previous_rate_per_s:
            logger.info(
                "endpoints.limit_stated"
                if statement.rate_per_s is not None
                else "endpoints.limit_ended",
                endpoint=target.endpoint_id,
                rate_per_s=statement.rate_per_s,
            )

    def latest(
        self, target: endpoint.Endpoint
    ) -> limit_statement.LimitStatement | None:
        """Returns the latest statement of an incarnation, if there is one."""
        known, statement = self._statements.get(
            target.endpoint_id, (None, None)
        )
        if known is None or not known.is_same_incarnation(target):
            return None
        return statement

    def rate_of(self, target: endpoint.Endpoint) -> float | None:
        """Returns the limit in requests per second, or None without one."""
        statement = self.latest(target)
        return None if statement is None else statement.rate_per_s

    def limited_count(self) -> int:
        """Returns the number of endpoints whose limit is in force."""
        return sum(
            statement.rate_per_s is not None
            for _, statement in self._statements.values()
        )

    def remove(self, gone: endpoint.Endpoint) -> None:
        """Removes what an incarnation that is gone has stated."""
        if self.latest(gone) is not None:
            del self._statements[gone.endpoint_id]
