"""Directory of the endpoints known to a gateway."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import math

import msgspec

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import past_incarnations
from bronzeslip.endpoints import pauses
from bronzeslip.endpoints import request_limits
from bronzeslip.load import load_statements
from bronzeslip.places import cold_endpoints
from bronzeslip.places import evacuated_domains
from bronzeslip.settings import entry

logger = logs.get_logger(__name__)

EndpointListener = Callable[[endpoint.Endpoint], None]
_EndpointListeners = listeners.Listeners[[endpoint.Endpoint]]


class EndpointDirectory:
    """Tracks endpoints and tolerates outages of the discovery source.

    While the source is unreachable, entries may lapse although their endpoints
    are alive. An entry that is missing after an outage is therefore kept for a
    grace period before its endpoint is dropped.

    An endpoint that has started to leave never becomes ready again; only a new
    incarnation does. A source that was restored from an older copy may list
    incarnations that are gone; they are ignored until they change.

    Attributes:
        request_limits: Limits that endpoints state on their requests.
        evacuated_domains: Failure domains whose endpoints receive no requests.
        cold_endpoints: Endpoints that sustain few requests for some time.
        load_statements: Load that endpoints state in their responses.
    """

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Creates an empty directory.

        Args:
            settings: Grace period of entries that lapsed during an outage.
        """
        self._settings = settings
        self._endpoints: dict[ids.EndpointId, endpoint.Endpoint] = {}
        self._leaving = past_incarnations.PastIncarnations()
        self._removed = past_incarnations.PastIncarnations()
        self._pauses = pauses.EndpointPauses()
        self.request_limits = request_limits.RequestLimits()
        self.evacuated_domains = evacuated_domains.EvacuatedDomains()
        self.cold_endpoints = cold_endpoints.ColdEndpoints()
        self.evacuated_domains.add_listener(self._signal_change)
        self.load_statements = load_statements.LoadStatements()
        self._is_source_restored = False
        self._unreachable: set[ids.EndpointId] = set()
        self._missing_since_s: dict[ids.EndpointId, float] = {}
        self._outage_end_s = -math.inf
        self._is_source_reachable = False
        self._leaving_listeners = _EndpointListeners("leaving")
        self._gone_listeners = _EndpointListeners("gone")
        self._changed = asyncio.Event()
        self._ready_by_service: dict[
            ids.ServiceName, tuple[endpoint.Endpoint, ...]
        ] = {}
        self._ready_or_evacuated_by_service: dict[
            ids.ServiceName, tuple[endpoint.Endpoint, ...]
        ] = {}

    @property
    def endpoints(self) -> tuple[endpoint.Endpoint, ...]:
        """All endpoints, including leaving ones."""
        self._expire_missing()
        return tuple(self._endpoints.values())

    def add_leaving_listener(self, listener: EndpointListener) -> None:
        """Registers a callback for endpoints that start to leave."""
        self._leaving_listeners.add(listener)

    def add_gone_listener(self, listener: EndpointListener) -> None:
        """Registers a callback for incarnations that are dropped."""
        self._gone_listeners.add(listener)

    def get(self, endpoint_id: ids.EndpointId) -> endpoint.Endpoint | None:
        """Returns an endpoint, or None if it is unknown."""
        self._expire_missing()
        return self._endpoints.get(endpoint_id)

    def accepts_requests(self, snapshot: endpoint.Endpoint) -> bool:
        """Returns whether this incarnation of an endpoint is still ready."""
        current = self.get(snapshot.endpoint_id)
        return (
            current is not None
            and current.is_ready
            and current.is_same_incarnation(snapshot)
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until an entry changes or a timeout elapses."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def ready_endpoints(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the endpoints of a service that accept new requests."""
        self._expire_missing()
        if self._pauses.remove_ended():
            self._signal_change()
        selected = self._ready_by_service.get(service_name)
        if selected is None:
            ready = tuple(
                candidate
                for candidate in self._endpoints.values()
                if candidate.service_name == service_name
                and candidate.is_ready
                and not self._pauses.remaining_s(candidate)
                and not self.is_evacuated(candidate)
            )
            selected = tuple(
                candidate
                for candidate in ready
                if candidate.endpoint_id not in self._unreachable
            )
            # If none is reachable, the fault may be on this gateway's side.
            selected = selected or ready
            self._ready_by_service[service_name] = selected
        return selected

    def ready_or_evacuated_endpoints(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the ready endpoints of a service and the evacuated ones.

        The evacuated ones still run the requests that they have.
        """
        ready = self.ready_endpoints(service_name)
        if not self.evacuated_domains:
            return ready
        listed = self._ready_or_evacuated_by_service.get(service_name)
        if listed is None:
            listed = ready + tuple(
                candidate
                for candidate in self._endpoints.values()
                if candidate.service_name == service_name
                and candidate.is_ready
                and self.is_evacuated(candidate)
            )
            self._ready_or_evacuated_by_service[service_name] = listed
        return listed

    def is_evacuated(self, target: endpoint.Endpoint) -> bool:
        """Returns whether an endpoint is in an evacuated failure domain."""
        return target.failure_domain in self.evacuated_domains

    def unpaused_endpoints(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the endpoints of a service that are ready and not paused.

        In contrast to `ready_endpoints`, these include unreachable ones.
        """
        return tuple(
            candidate
            for candidate in self.endpoints
            if candidate.service_name == service_name
            and candidate.is_ready
            and not self._pauses.remaining_s(candidate)
        )

    def is_usable(self, snapshot: endpoint.Endpoint) -> bool:
        """Returns whether an endpoint can receive requests.

        It has to be ready, reachable, not paused and not evacuated.
        """
        return (
            not self.is_evacuated(snapshot)
            and snapshot.endpoint_id not in self._unreachable
            and not self._pauses.remaining_s(snapshot)
            and self.accepts_requests(snapshot)
        )

    def pause(self, target: endpoint.Endpoint, duration_s: float) -> None:
        """Records that an endpoint asked not to be called for some time."""
        logger.info(
            "endpoints.paused",
            endpoint=target.endpoint_id,
            duration_s=duration_s,
        )
        self._pauses.set(target, duration_s)
        self._signal_change()

    def pause_remaining_s(self, target: endpoint.Endpoint) -> float:
        """Returns how long an endpoint must not be called, in seconds."""
        return self._pauses.remaining_s(target)

    def shortest_pause_s(
        self,
        service_name: ids.ServiceName,
        is_eligible: Callable[[endpoint.Endpoint], bool] = lambda _: True,
    ) -> float | None:
        """Returns when the first paused endpoint of a service can be called.

        Args:
            service_name: Name of the service.
            is_eligible: Tells which of its endpoints to consider; all by
                default.

        Returns:
            The time until then in seconds, or None if none is paused.
        """
        remaining_s = (
            self._pauses.remaining_s(candidate)
            for candidate in self._endpoints.values()
            if candidate.service_name == service_name
            and candidate.is_ready
            and not self.is_evacuated(candidate)
            and is_eligible(candidate)
        )
        return min((left_s for left_s in remaining_s if left_s), default=None)

    def set_reachable(
        self, target: endpoint.Endpoint, is_reachable: bool
    ) -> None:
        """Records whether an endpoint is currently reachable.

        An unreachable endpoint is skipped unless all ready endpoints of its
        service are unreachable. It stays in the directory, since the fault
        may be on the network path.
        """
        if is_reachable is (target.endpoint_id not in self._unreachable):
            return
        logger.info(
            "endpoints.reachable" if is_reachable else "endpoints.unreachable",
            endpoint=target.endpoint_id,
        )
        if is_reachable:
            self._unreachable.discard(target.endpoint_id)
        else:
            self._unreachable.add(target.endpoint_id)
        self._signal_change()

    def is_reachable(self, target: endpoint.Endpoint) -> bool:
        """Returns whether this gateway currently reaches an endpoint."""
        return target.endpoint_id not in self._unreachable

    @property
    def is_source_reachable(self) -> bool:
        """Whether the discovery source is reachable."""
        return self._is_source_reachable

    def mark_leaving(self, target: endpoint.Endpoint) -> None:
        """Records that an endpoint has announced that it is leaving.

        Its discovery entry may follow later, or not at all while the source
        is unreachable.
        """
        known = self.get(target.endpoint_id)
        if known is not None and not known.is_same_incarnation(target):
            return
        self._leaving.add(target)
        if known is not None and known.is_ready:
            self.put(target)

    def mark_source_lost(self) -> None:
        """Records that the discovery source is unreachable."""
        if self._is_source_reachable:
            logger.warning("endpoints.source_lost")
        self._is_source_reachable = False
        self._outage_end_s = math.inf

    def mark_source_restored(self) -> None:
        """Records that the source was restored from an older copy."""
        self.mark_source_lost()
        self._is_source_restored = True

    def replace_all(self, listed: Iterable[endpoint.Endpoint]) -> None:
        """Replaces all entries with a complete listing."""
        if self._is_source_restored:
            self._is_source_restored = False
            listed = [entry for entry in listed if not self._is_past(entry)]
        if not self._is_source_reachable:
            logger.info("endpoints.source_regained")
            self._is_source_reachable = True
            self._outage_end_s = _now_s()
        by_id = {updated.endpoint_id: updated for updated in listed}
        for endpoint_id in self._endpoints.keys() - by_id.keys():
            self.remove(endpoint_id)
        for updated in by_id.values():
            self.put(updated)

    def put(self, updated: endpoint.Endpoint) -> None:
        """Adds or updates an entry."""
        previous = self._endpoints.get(updated.endpoint_id)
        if not updated.is_ready:
            self._leaving.add(updated)
        elif updated in self._leaving:
            updated = msgspec.structs.replace(
                updated, state=endpoint.EndpointState.LEAVING
            )
        self._removed.discard(updated)
        self._missing_since_s.pop(updated.endpoint_id, None)
        if previous == updated:
            return
        self._endpoints[updated.endpoint_id] = updated
        is_restarted = (
            previous is not None and not previous.is_same_incarnation(updated)
        )
        if is_restarted:
            self._unreachable.discard(updated.endpoint_id)
        self._signal_change()
        if is_restarted:
            self._notify_leaving(previous, "restarted")
            self._notify_gone(previous)
            previous = None
        if previous is None:
            logger.info(
                "endpoints.taken_in",
                endpoint=updated.endpoint_id,
                service=updated.service_name,
                state=updated.state,
                address=updated.address,
            )
        elif previous.is_ready and not updated.is_ready:
            self._notify_leaving(updated, "draining")

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes an entry.

        During an outage and shortly after it, a ready endpoint is kept for a
        grace period first.
        """
        removed = self._endpoints.get(endpoint_id)
        if removed is None:
            return
        if removed.is_ready and self._is_in_grace_period():
            self._missing_since_s.setdefault(endpoint_id, _now_s())
            logger.info("endpoints.missing", endpoint=endpoint_id)
            return
        self._removed.add(removed)
        self._drop(removed)

    def _is_past(self, listed: endpoint.Endpoint) -> bool:
        """Returns whether an older copy lists an incarnation that is gone."""
        known = self._endpoints.get(listed.endpoint_id)
        if known is not None and not known.is_same_incarnation(listed):
            return listed.started_unix_ms < known.started_unix_ms
        return known is None and listed in self._removed

    def _signal_change(self) -> None:
        self._ready_by_service.clear()
        self._ready_or_evacuated_by_service.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_in_grace_period(self) -> bool:
        grace_s = self._settings.lapse_grace_s
        return _now_s() < self._outage_end_s + grace_s

    def _expire_missing(self) -> None:
        if not self._missing_since_s or not self._is_source_reachable:
            return
        cutoff_s = _now_s() - self._settings.lapse_grace_s
        for endpoint_id, since_s in list(self._missing_since_s.items()):
            if since_s <= cutoff_s:
                self._drop(self._endpoints[endpoint_id])

    def _drop(self, removed: endpoint.Endpoint) -> None:
        del self._endpoints[removed.endpoint_id]
        self._unreachable.discard(removed.endpoint_id)
        self._missing_since_s.pop(removed.endpoint_id, None)
        self._signal_change()
        if removed.is_ready:
            self._notify_leaving(removed, "removed")
        else:
            logger.info("endpoints.dropped", endpoint=removed.endpoint_id)
        self._notify_gone(removed)

    def _notify_leaving(self, leaving: endpoint.Endpoint, reason: str) -> None:
        logger.info(
            "endpoints.leaving", endpoint=leaving.endpoint_id, reason=reason
        )
        self._leaving_listeners.notify(leaving)

    def _notify_gone(self, gone: endpoint.Endpoint) -> None:
        self.request_limits.remove(gone)
        self.cold_endpoints.remove(gone)
        self.load_statements.remove(gone)
        self._gone_listeners.notify(gone)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
