"""Endpoints that sustain only a limited rate of requests for some time."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import time

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.routes import service

logger = logs.get_logger(__name__)

# Bounds the time for which one false statement limits an endpoint.
_MAX_STATED_S = 3600.0
# Far more than the endpoints whose entries lapse during one outage.
_MAX_PAST_RECORDS = 4096


class _Record(msgspec.Struct):
    """What is known of one incarnation.

    Attributes:
        incarnation: The incarnation.
        version: Version of its latest entry.
        stated_s: Remaining time stated by that entry, in seconds.
        stated_end_s: Latest end of a stated time, in seconds.
        appeared_s: Time at which it appeared, -inf if it was in the first
            listing.
        is_cold: Whether it was found to be cold, and not to be warm since.
        is_exhausted: Whether its limit was used up since then.
    """

    incarnation: endpoint.Endpoint
    version: ids.ObjectVersion | None = None
    stated_s: float = 0.0
    stated_end_s: float = -math.inf
    appeared_s: float = -math.inf
    is_cold: bool = False
    is_exhausted: bool = False


class ColdEndpoints:
    """Tracks until when endpoints are cold.

    A time that was stated is never shortened by a later statement, since an
    entry may have been written before the endpoint became cold again.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates a tracker without endpoints.

        Args:
            clock: Monotonic clock, in seconds.
        """
        self._clock = clock
        self._records: dict[ids.EndpointId, _Record] = {}
        # Of endpoints whose entries were removed or have lapsed.
        self._past: dict[ids.EndpointId, _Record] = {}
        self._is_listed = False

    def replace_all(
        self, listed: Iterable[tuple[endpoint.Endpoint, ids.ObjectVersion]]
    ) -> None:
        """Records a complete listing of entries with their versions."""
        appeared_s = self._clock() if self._is_listed else -math.inf
        self._is_listed = True
        for target, version in listed:
            record = self._record_of(target, appeared_s)
            # A repeated listing of the same entry is no new statement.
            if (version, target.warmup_remaining_s) != (
                record.version,
                record.stated_s,
            ):
                self._observe(record, target, version)

    def put(
        self, target: endpoint.Endpoint, version: ids.ObjectVersion
    ) -> None:
        """Records a change of an entry."""
        record = self._record_of(target, self._clock())
        self._observe(record, target, version)

    def state(self, target: endpoint.Endpoint, remaining_s: float) -> None:
        """Records that an endpoint stated just now how long it is cold."""
        record = self._records.get(target.endpoint_id)
        if record is not None and record.incarnation.is_same_incarnation(
            target
        ):
            self._extend(record, remaining_s)

    def remove(self, gone: endpoint.Endpoint) -> None:
        """Removes an incarnation.

        What is known of it is kept for the case that its entry has lapsed while
        it runs. Without a start time it can't be told from its successor.
        """
        record = self._records.get(gone.endpoint_id)
        if record is None or not record.incarnation.is_same_incarnation(gone):
            return
        del self._records[gone.endpoint_id]
        if not gone.started_unix_ms:
            return
        self._past.pop(gone.endpoint_id, None)
        self._past[gone.endpoint_id] = record
        if len(self._past) > _MAX_PAST_RECORDS:
            del self._past[next(iter(self._past))]

    def remaining_s(
        self, endpoint_id: ids.EndpointId, target_service: service.Service
    ) -> float:
        """Returns how long an endpoint is cold, 0 if it is warm, in seconds.

        Args:
            endpoint_id: The endpoint.
            target_service: Its service, without whose limit none is cold.
        """
        if not target_service.cold_per_s:
            return 0.0
        record = self._records.get(endpoint_id)
        if record is None:
            return 0.0
        end_s = max(
            record.stated_end_s, record.appeared_s + target_service.cold_s
        )
        remaining_s = max(end_s - self._clock(), 0.0)
        if record.is_cold is not (remaining_s > 0):
            self._log_change(record, remaining_s)
        return remaining_s

    def log_exhausted(self, endpoint_id: ids.EndpointId) -> None:
        """Logs once for a cold endpoint that its limit is used up."""
        record = self._records.get(endpoint_id)
        if record is not None and not record.is_exhausted:
            record.is_exhausted = True
            logger.info("endpoints.cold_limit_exhausted", endpoint=endpoint_id)

    def cold_count(self) -> int:
        """Returns the number of endpoints last found to be cold."""
        return sum(record.is_cold for record in self._records.values())

    def _record_of(
        self, target: endpoint.Endpoint, appeared_s: float
    ) -> _Record:
        record = self._records.get(target.endpoint_id)
        if record is None or not record.incarnation.is_same_incarnation(target):
            record = self._past.pop(target.endpoint_id, None)
            if record is None or not record.incarnation.is_same_incarnation(
                target
            ):
                record = _Record(target, appeared_s=appeared_s)
            self._records[target.endpoint_id] = record
        return record

    def _observe(
        self,
        record: _Record,
        target: endpoint.Endpoint,
        version: ids.ObjectVersion,
    ) -> None:
        record.version = version
        record.stated_s = target.warmup_remaining_s
        self._extend(record, target.warmup_remaining_s)

    def _extend(self, record: _Record, remaining_s: float) -> None:
        end_s = self._clock() + min(remaining_s, _MAX_STATED_S)
        record.stated_end_s = max(record.stated_end_s, end_s)

    def _log_change(self, record: _Record, remaining_s: float) -> None:
        record.is_cold = remaining_s > 0
        record.is_exhausted = False
        logger.info(
            "endpoints.cold" if record.is_cold else "endpoints.warm",
            endpoint=record.incarnation.endpoint_id,
            remaining_s=round(remaining_s, 3),
        )
