"""Endpoints that have asked not to be called for some time."""

import asyncio
import math

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint


class _Pause(msgspec.Struct, frozen=True):
    """Pause of one incarnation of an endpoint.

    Attributes:
        target: The incarnation.
        ends_s: End of the pause on the event loop's clock, in seconds.
    """

    target: endpoint.Endpoint
    ends_s: float


class EndpointPauses:
    """Tracks until when endpoints must not be called."""

    def __init__(self) -> None:
        self._pauses: dict[ids.EndpointId, _Pause] = {}
        self._first_end_s = math.inf

    def set(self, target: endpoint.Endpoint, duration_s: float) -> None:
        """Starts a pause, or replaces the current one."""
        ends_s = _now_s() + duration_s
        self._pauses[target.endpoint_id] = _Pause(target, ends_s)
        self._first_end_s = min(self._first_end_s, ends_s)

    def remaining_s(self, target: endpoint.Endpoint) -> float:
        """Returns how long an endpoint must not be called, in seconds."""
        pause = self._pauses.get(target.endpoint_id)
        if pause is None or not pause.target.is_same_incarnation(target):
            return 0.0
        return max(pause.ends_s - _now_s(), 0.0)

    def remove_ended(self) -> bool:
        """Removes pauses that have ended; returns whether there were any."""
        now_s = _now_s()
        if now_s < self._first_end_s:
            return False
        self._pauses = {
            endpoint_id: pause
            for endpoint_id, pause in self._pauses.items()
            if pause.ends_s > now_s
        }
        self._first_end_s = min(
            (pause.ends_s for pause in self._pauses.values()), default=math.inf
        )
        return True


def _now_s() -> float:
    return asyncio.get_running_loop().time()
