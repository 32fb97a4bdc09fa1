"""Endpoints known to a gateway."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import math

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.settings import entry

logger = logs.get_logger(__name__)

LeavingListener = Callable[[endpoint.Endpoint], None]


class EndpointDirectory:
    """Keeps the endpoints through outages of their source.

    While the source is away, entries may lapse although their endpoints
    live; an entry that is missing after an outage is therefore kept for a
    grace time before it counts as gone.
    """

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Creates an empty directory.

        Args:
            settings: Grace time of entries that lapsed in an outage.
        """
        self._settings = settings
        self._endpoints: dict[ids.EndpointId, endpoint.Endpoint] = {}
        self._said_leaving: dict[ids.EndpointId, endpoint.Endpoint] = {}
        self._unreachable: set[ids.EndpointId] = set()
        self._missing_since_s: dict[ids.EndpointId, float] = {}
        self._outage_end_s = -math.inf
        self._is_reachable = False
        self._on_leaving: list[LeavingListener] = []
        self._changed = asyncio.Event()
        self._by_service: dict[
            ids.ServiceName, tuple[endpoint.Endpoint, ...]
        ] = {}

    @property
    def endpoints(self) -> tuple[endpoint.Endpoint, ...]:
        """All endpoints, leaving ones too."""
        self._expire_missing()
        return tuple(self._endpoints.values())

    def add_leaving_listener(self, listener: LeavingListener) -> None:
        """Has a function called with each endpoint that starts to leave."""
        self._on_leaving.append(listener)

    def get(self, endpoint_id: ids.EndpointId) -> endpoint.Endpoint | None:
        """Returns an endpoint, or None if it is not known."""
        self._expire_missing()
        return self._endpoints.get(endpoint_id)

    def takes_requests(self, known: endpoint.Endpoint) -> bool:
        """Tells whether this incarnation of an endpoint is still ready."""
        now = self.get(known.endpoint_id)
        return (
            now is not None and now.is_ready and now.is_same_incarnation(known)
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until an entry changes, or until a time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def ready_of(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Lists the endpoints of a service that take new requests."""
        self._expire_missing()
        found = self._by_service.get(service_name)
        if found is None:
            ready = tuple(
                known
                for known in self._endpoints.values()
                if known.service_name == service_name and known.is_ready
            )
            found = tuple(
                known
                for known in ready
                if known.endpoint_id not in self._unreachable
            )
            # With nobody reachable, the fault may be this gateway's own.
            found = found or ready
            self._by_service[service_name] = found
        return found

    def is_usable(self, known: endpoint.Endpoint) -> bool:
        """Tells whether an endpoint is ready and can be reached."""
        return (
            known.endpoint_id not in self._unreachable
            and self.takes_requests(known)
        )

    def set_reachable(
        self, known: endpoint.Endpoint, is_reachable: bool
    ) -> None:
        """Notes whether an endpoint could be reached just now.

        One that can't is passed over, but stays known: the fault may be on
        the way to it.
        """
        if is_reachable is (known.endpoint_id not in self._unreachable):
            return
        logger.info(
            "endpoints.reachable" if is_reachable else "endpoints.unreachable",
            endpoint=known.endpoint_id,
        )
        if is_reachable:
            self._unreachable.discard(known.endpoint_id)
        else:
            self._unreachable.add(known.endpoint_id)
        self._note_change()

    @property
    def is_source_reachable(self) -> bool:
        """Whether the source of entries answers."""
        return self._is_reachable

    def note_leaving(self, known: endpoint.Endpoint) -> None:
        """Notes that an endpoint says of itself that it leaves.

        Its entry may say so later, or not at all while the source is away.
        """
        if not self.takes_requests(known):
            return
        leaving = msgspec.structs.replace(
            known, state=endpoint.EndpointState.LEAVING
        )
        self._said_leaving[known.endpoint_id] = leaving
        self.put(leaving)

    def source_lost(self) -> None:
        """Notes that the source of entries does not answer."""
        if self._is_reachable:
            logger.warning("endpoints.source_lost")
        self._is_reachable = False
        self._outage_end_s = math.inf

    def replace_all(self, listed: Iterable[endpoint.Endpoint]) -> None:
        """Takes the whole list of entries."""
        if not self._is_reachable:
            logger.info("endpoints.source_regained")
            self._is_reachable = True
            self._outage_end_s = _now_s()
        by_id = {known.endpoint_id: known for known in listed}
        for endpoint_id in self._endpoints.keys() - by_id.keys():
            self.remove(endpoint_id)
        for known in by_id.values():
            self.put(known)

    def put(self, known: endpoint.Endpoint) -> None:
        """Takes a new or changed entry."""
        before = self._endpoints.get(known.endpoint_id)
        said = self._said_leaving.get(known.endpoint_id)
        if said is not None and said.is_same_incarnation(known):
            known = said
        self._missing_since_s.pop(known.endpoint_id, None)
        if before == known:
            return
        self._endpoints[known.endpoint_id] = known
        self._note_change()
        if before is not None and not before.is_same_incarnation(known):
            self._leave(before, "restarted")
            before = None
        if before is None:
            logger.info(
                "endpoints.taken_in",
                endpoint=known.endpoint_id,
                service=known.service_name,
                state=known.state,
                address=known.address,
            )
        elif before.is_ready and not known.is_ready:
            self._leave(known, "draining")

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Takes the removal of an entry."""
        known = self._endpoints.get(endpoint_id)
        if known is None:
            return
        if known.is_ready and self._is_after_outage():
            self._missing_since_s.setdefault(endpoint_id, _now_s())
            logger.info("endpoints.missing", endpoint=endpoint_id)
            return
        self._drop(known)

    def _note_change(self) -> None:
        self._by_service.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_after_outage(self) -> bool:
        grace_s = self._settings.lapse_grace_s
        return _now_s() < self._outage_end_s + grace_s

    def _expire_missing(self) -> None:
        if not self._missing_since_s or not self._is_reachable:
            return
        bound_s = _now_s() - self._settings.lapse_grace_s
        for endpoint_id, since_s in list(self._missing_since_s.items()):
            if since_s <= bound_s:
                self._drop(self._endpoints[endpoint_id])

    def _drop(self, known: endpoint.Endpoint) -> None:
        del self._endpoints[known.endpoint_id]
        self._said_leaving.pop(known.endpoint_id, None)
        self._unreachable.discard(known.endpoint_id)
        self._missing_since_s.pop(known.endpoint_id, None)
        self._note_change()
        if known.is_ready:
            self._leave(known, "removed")
        else:
            logger.info("endpoints.dropped", endpoint=known.endpoint_id)

    def _leave(self, known: endpoint.Endpoint, reason: str) -> None:
        logger.info(
            "endpoints.leaving", endpoint=known.endpoint_id, reason=reason
        )
        for listener in self._on_leaving:
            listener(known)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
