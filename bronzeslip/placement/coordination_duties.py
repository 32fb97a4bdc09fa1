"""Shards for which this gateway is asked for placements."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip.endpoints import endpoint
from bronzeslip.placement import shard

# Time after a request during which a shard counts as being asked for. Gaps of
# about a second are usual in quiet periods.
_ACTIVE_S = 2.0
# Time after that during which its engines are still polled, so that a pause
# between two load waves does not make the coordinator start anew.
_IDLE_S = 10.0


class CoordinationDuties:
    """Tracks the shards that other gateways and this one ask for."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates duties without a shard.

        Args:
            clock: Monotonic clock, in seconds.
        """
        self._clock = clock
        self._asked_s: dict[shard.Shard, float] = {}
        self._begun_listeners: listeners.Listeners[[]] = listeners.Listeners(
            "coordination begun"
        )

    def add_begun_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for shards that are asked for anew."""
        self._begun_listeners.add(listener)

    def record_asked(self, asked: shard.Shard) -> None:
        """Records that a gateway asked for a placement."""
        now_s = self._clock()
        is_new = not self._is_within(asked, _ACTIVE_S)
        self._asked_s[asked] = now_s
        if is_new:
            self._remove_ended(now_s)
            self._begun_listeners.notify()

    def includes(self, candidate: endpoint.Endpoint) -> bool:
        """Returns whether the engine's reports are needed for placements."""
        return any(
            self._is_within(asked, _ACTIVE_S + _IDLE_S)
            for asked in self._shards_of(candidate)
        )

    def is_active(self, candidate: endpoint.Endpoint) -> bool:
        """Returns whether placements on an engine are being asked for."""
        return any(
            self._is_within(asked, _ACTIVE_S)
            for asked in self._shards_of(candidate)
        )

    def has_shard(self, asked: shard.Shard) -> bool:
        """Returns whether a shard is or was recently asked for."""
        return self._is_within(asked, _ACTIVE_S + _IDLE_S)

    def has_shard_of(self, service_name: ids.ServiceName) -> bool:
        """Returns whether a shard of a service is or was recently asked for."""
        return any(
            asked.service_name == service_name
            and self._is_within(asked, _ACTIVE_S + _IDLE_S)
            for asked in self._asked_s
        )

    def _shards_of(self, candidate: endpoint.Endpoint) -> list[shard.Shard]:
        return [
            asked
            for asked in self._asked_s
            if asked.service_name == candidate.service_name
            and asked.contains(candidate.endpoint_id)
        ]

    def _is_within(self, asked: shard.Shard, duration_s: float) -> bool:
        asked_s = self._asked_s.get(asked)
        return asked_s is not None and self._clock() - asked_s < duration_s

    def _remove_ended(self, now_s: float) -> None:
        self._asked_s = {
            asked: asked_s
            for asked, asked_s in self._asked_s.items()
            if now_s - asked_s < _ACTIVE_S + _IDLE_S
        }
