"""Grants permits to all gateways for the endpoints that it coordinates."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import limit_statement
from bronzeslip.quota import coordinators
from bronzeslip.quota import peer
from bronzeslip.quota import permit_bucket
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request
from bronzeslip.quota import permit_verdict
from bronzeslip.quota import standing

logger = logs.get_logger(__name__)

EndedListener = Callable[[endpoint.Endpoint, Iterable[peer.Peer]], None]

# A limit that allows nothing still ends some time; a few requests show when.
_MIN_RATE_PER_S = 0.1
_PARTIAL_SHARE = 0.5
_NOT_RESPONSIBLE = permit_reply.PermitReply(
    permit_verdict.PermitVerdict.NOT_RESPONSIBLE
)


class PermitCoordinator:
    """Decides on permits, with one token bucket for each limited endpoint.

    The decision rests on what this gateway itself knows of the other gateways,
    not on whom the asking gateway takes for the coordinator.
    """

    def __init__(
        self,
        endpoints: directory.EndpointDirectory,
        gateways: coordinators.Coordinators,
        clock: Callable[[], float] = time.monotonic,
        cold_rate: Callable[[float], float] = lambda cold_per_s: cold_per_s,
    ) -> None:
        """Creates a coordinator.

        Args:
            endpoints: Directory of the known endpoints and their limits.
            gateways: Tells what this gateway may grant.
            clock: Monotonic clock, in seconds.
            cold_rate: Returns the rate of permits for a cold endpoint with the
                given limit, both per second.
        """
        self._endpoints = endpoints
        self._gateways = gateways
        self._clock = clock
        self._cold_rate = cold_rate
        self._buckets: dict[ids.EndpointId, permit_bucket.PermitBucket] = {}
        self._cold_buckets: dict[
            ids.EndpointId, permit_bucket.PermitBucket
        ] = {}
        self._denied: dict[ids.EndpointId, set[peer.Peer]] = {}
        self._ended_listeners: listeners.Listeners[
            [endpoint.Endpoint, Iterable[peer.Peer]]
        ] = listeners.Listeners("limit ended")
        endpoints.add_gone_listener(self._remove_endpoint)

    def add_ended_listener(self, listener: EndedListener) -> None:
        """Registers a callback for limits that have ended.

        It is called with the endpoint and the gateways that were denied
        permits for it.
        """
        self._ended_listeners.add(listener)

    def decide(
        self, request: permit_request.PermitRequest
    ) -> permit_reply.PermitReply:
        """Decides whether a gateway may send a request to an endpoint."""
        target = self._endpoints.get(request.endpoint_id)
        if target is None or not _is_same_incarnation(target, request):
            return _NOT_RESPONSIBLE
        if request.is_cold:
            return self._decide_cold(target, request)
        latest = self._merge(target, request)
        if latest.rate_per_s is None:
            self._notify_ended(target)
            return self._create_reply(latest, 0.0)
        granted_share = self._granted_share(request)
        if not granted_share:
            return _NOT_RESPONSIBLE
        rate_per_s = max(latest.rate_per_s * granted_share, _MIN_RATE_PER_S)
        return self._create_reply(
            latest, self._take(target, request, rate_per_s)
        )

    def _decide_cold(
        self,
        target: endpoint.Endpoint,
        request: permit_request.PermitRequest,
    ) -> permit_reply.PermitReply:
        """Decides on a request to a cold endpoint.

        The rate is no statement of the endpoint, so it is not recorded as one.
        """
        rate_per_s = self._cold_rate(request.rate_per_s or 0.0)
        rate_per_s *= self._granted_share(request)
        if not rate_per_s:
            return _NOT_RESPONSIBLE
        now_s = self._clock()
        bucket = self._cold_buckets.get(target.endpoint_id)
        if bucket is None:
            logger.info("permits.coordinated_cold", endpoint=target.endpoint_id)
            bucket = permit_bucket.PermitBucket(now_s)
            self._cold_buckets[target.endpoint_id] = bucket
        delay_s = bucket.take(rate_per_s, request.reserved, now_s)
        if delay_s:
            return permit_reply.PermitReply(
                permit_verdict.PermitVerdict.DENIED, delay_s
            )
        return permit_reply.PermitReply(permit_verdict.PermitVerdict.GRANTED)

    def _merge(
        self,
        target: endpoint.Endpoint,
        request: permit_request.PermitRequest,
    ) -> limit_statement.LimitStatement:
        """Merges what the asking gateway knows; returns the latest."""
        limits = self._endpoints.request_limits
        stated_s = self._clock() - max(request.statement_age_s, 0.0)
        limits.merge(
            target, limit_statement.LimitStatement(request.rate_per_s, stated_s)
        )
        return limits.latest(target)

    def _take(
        self,
        target: endpoint.Endpoint,
        request: permit_request.PermitRequest,
        rate_per_s: float,
    ) -> float:
        """Takes a permit; returns 0 or the time to wait, in seconds."""
        now_s = self._clock()
        delay_s = self._bucket_of(target, now_s).take(
            rate_per_s, request.reserved, now_s
        )
        if delay_s:
            denied = self._denied.setdefault(target.endpoint_id, set())
            denied.add(request.sender)
        return delay_s

    def _notify_ended(self, target: endpoint.Endpoint) -> None:
        denied = self._denied.pop(target.endpoint_id, None)
        if denied is None:
            return
        self._ended_listeners.notify(target, denied)

    def _create_reply(
        self, latest: limit_statement.LimitStatement, delay_s: float
    ) -> permit_reply.PermitReply:
        return permit_reply.PermitReply(
            permit_verdict.PermitVerdict.DENIED
            if delay_s
            else permit_verdict.PermitVerdict.GRANTED,
            delay_s,
            latest.rate_per_s,
            self._clock() - latest.stated_s,
        )

    def _granted_share(self, request: permit_request.PermitRequest) -> float:
        """Returns the part of the limit that this gateway may grant."""
        own_standing = self._gateways.standing_for(
            request.endpoint_id, request.is_fallback
        )
        if own_standing is standing.Standing.FULL:
            return 1.0
        if own_standing is standing.Standing.PARTIAL:
            return _PARTIAL_SHARE
        return 0.0

    def _bucket_of(
        self, target: endpoint.Endpoint, now_s: float
    ) -> permit_bucket.PermitBucket:
        bucket = self._buckets.get(target.endpoint_id)
        if bucket is None:
            logger.info("permits.coordinated", endpoint=target.endpoint_id)
            bucket = permit_bucket.PermitBucket(now_s)
            self._buckets[target.endpoint_id] = bucket
        return bucket

    def _remove_endpoint(self, gone: endpoint.Endpoint) -> None:
        self._buckets.pop(gone.endpoint_id, None)
        self._cold_buckets.pop(gone.endpoint_id, None)
        self._denied.pop(gone.endpoint_id, None)


def _is_same_incarnation(
    target: endpoint.Endpoint, request: permit_request.PermitRequest
) -> bool:
    return (
        target.address == request.address
        and target.started_unix_ms == request.started_unix_ms
    )
