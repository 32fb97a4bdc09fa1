"""Latest statements of endpoints about their load."""

import collections
from collections.abc import Callable
import math
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.load import load_statement

logger = logs.get_logger(__name__)

# A noisy neighbour slows a VM for about 0.6 s at a time, so half of the slow
# phases that are seen have ended 0.3 s later. Some VMs are always slow, so that
# a part of the excess counts until the statement is too old to tell.
_HALF_AGE_S = 0.3
_MAX_AGE_S = 1.0
# The lowest of the last paces is the usual one: with 15 in 100 VMs slowed by a
# neighbour at any moment, that many in a row are hardly ever all slowed.
_USUAL_PACE_STATEMENTS = 8
# Fewer statements may all come from one slow phase.
_MIN_USUAL_PACE_STATEMENTS = 3
_LOG_INTERVAL_S = 10.0
# A service counts as stating paces for this time after its last one. A gateway
# may have a response of a single endpoint, which may end at any moment.
_STATES_PACE_S = 30.0


class LoadStatements:
    """Keeps the latest load statement of each incarnation of an endpoint."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates statements of no endpoint.

        Args:
            clock: Clock of the event loop, in seconds.
        """
        self._clock = clock
        self._statements: dict[
            ids.EndpointId,
            tuple[endpoint.Endpoint, load_statement.LoadStatement],
        ] = {}
        self._recent_paces: dict[ids.EndpointId, collections.deque[float]] = {}
        self._pace_stated_s: dict[ids.ServiceName, float] = {}
        self._logged_s = -math.inf

    def state(
        self, target: endpoint.Endpoint, statement: load_statement.LoadStatement
    ) -> None:
        """Records what an endpoint has just stated."""
        self._statements[target.endpoint_id] = (target, statement)
        if statement.pace is None:
            self._remove_pace(target)
        else:
            self._pace_stated_s[target.service_name] = self._clock()
            self._recent_paces.setdefault(
                target.endpoint_id,
                collections.deque(maxlen=_USUAL_PACE_STATEMENTS),
            ).append(statement.pace)

    def record_malformed(self, target: endpoint.Endpoint) -> None:
        """Records a response whose load header is malformed."""
        self._log_unusable(target, "malformed")

    def record_missing(self, target: endpoint.Endpoint) -> None:
        """Records a response without a load header.

        Endpoints that have never stated their load are not expected to.
        """
        if self.latest(target) is not None:
            self._log_unusable(target, "missing")

    def latest(
        self, target: endpoint.Endpoint
    ) -> load_statement.LoadStatement | None:
        """Returns the latest statement of an incarnation, if there is one."""
        known, statement = self._statements.get(
            target.endpoint_id, (None, None)
        )
        if known is None or not known.is_same_incarnation(target):
            return None
        return statement

    def age_s(self, statement: load_statement.LoadStatement) -> float:
        """Returns the age of a statement, in seconds."""
        return self._clock() - statement.received_s

    def pace_of(self, target: endpoint.Endpoint) -> float:
        """Returns how long work takes at an endpoint, 1.0 being normal.

        The stated pace approaches the usual one as the statement ages.
        """
        statement = self.latest(target)
        if statement is None or statement.pace is None:
            return 1.0
        usual = self.usual_pace_of(target)
        share = _remaining_share(self.age_s(statement))
        return usual + (statement.pace - usual) * share

    def usual_pace_of(self, target: endpoint.Endpoint) -> float:
        """Returns the pace of an endpoint without passing disturbances.

        It is 1.0 until the endpoint has stated its pace a few times.
        """
        paces = self._recent_paces.get(target.endpoint_id, ())
        if len(paces) < _MIN_USUAL_PACE_STATEMENTS:
            return 1.0
        return min(paces)

    def states_pace(self, service_name: ids.ServiceName) -> bool:
        """Returns whether an endpoint of a service recently stated its pace."""
        stated_s = self._pace_stated_s.get(service_name, -math.inf)
        return self._clock() - stated_s < _STATES_PACE_S

    def remove(self, gone: endpoint.Endpoint) -> None:
        """Removes what an incarnation that is gone has stated."""
        if self.latest(gone) is not None:
            del self._statements[gone.endpoint_id]
            self._remove_pace(gone)

    def _log_unusable(self, target: endpoint.Endpoint, reason: str) -> None:
        now_s = self._clock()
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        logger.warning(
            "load.unusable_statement",
            endpoint=target.endpoint_id,
            reason=reason,
        )

    def _remove_pace(self, target: endpoint.Endpoint) -> None:
        self._recent_paces.pop(target.endpoint_id, None)


def _remaining_share(age_s: float) -> float:
    """Returns the share of a stated excess that is left after a time."""
    if age_s <= _HALF_AGE_S:
        return 1.0 - 0.5 * max(age_s, 0.0) / _HALF_AGE_S
    left_s = max(_MAX_AGE_S - age_s, 0.0)
    return 0.5 * left_s / (_MAX_AGE_S - _HALF_AGE_S)
