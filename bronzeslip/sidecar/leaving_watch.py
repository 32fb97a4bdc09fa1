"""Detects that this sidecar's endpoint is about to be reclaimed."""

import asyncio
from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import in_force
from bronzeslip.configuration import service
from bronzeslip.engine import client
from bronzeslip.engine import errors
from bronzeslip.membership import member
from bronzeslip.settings import sidecar
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

_CHECK_INTERVAL_S = 1.0


class ReclaimWatcher:
    """Polls the engine and watches the sidecar's own member record.

    A gateway marks the record as draining when the VM is leaving.
    """

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        incarnation_id: ids.IncarnationId,
        engine: client.EngineClient,
        configuration: in_force.ActiveConfiguration,
        on_leaving: Callable[[], None],
    ) -> None:
        """Creates a watcher.

        Args:
            settings: Settings of the sidecar.
            incarnation_id: Incarnation of the sidecar.
            engine: Client of the endpoint, if it is an engine.
            configuration: Configuration with the kind of the endpoint.
            on_leaving: Called once when the endpoint is about to be
                reclaimed.
        """
        self._settings = settings
        self._incarnation_id = incarnation_id
        self._engine = engine
        self._configuration = configuration
        self._on_leaving = on_leaving
        self._notified = False
        self._record_ignored = False

    def ignore_record(self) -> None:
        """Ignores the record from now on.

        A sidecar that drains on request marks the record itself.
        """
        self._record_ignored = True

    async def run(self) -> None:
        """Polls the engine until the endpoint is about to be reclaimed."""
        while not self._notified:
            if self._is_engine() and await self._is_engine_leaving():
                self._notify("engine")
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Handles a listing of the sidecar's record."""
        for found in listed.objects:
            self._handle_record(found.value)

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Handles a change of the sidecar's record."""
        if event.kind is objects.EventKind.PUT:
            self._handle_record(event.value)

    def _handle_record(self, value: bytes) -> None:
        record = member.decode(value)
        if (
            not self._record_ignored
            and record is not None
            and record.incarnation_id == self._incarnation_id
            and record.state is member.MemberState.DRAINING
        ):
            self._notify("platform")

    def _is_engine(self) -> bool:
        if self._configuration.number < 0:
            return False
        pools = self._configuration.current.document.pools
        pool = pools.get(self._settings.pool)
        return pool is not None and pool.kind is service.ServiceKind.GENERATION

    async def _is_engine_leaving(self) -> bool:
        try:
            return (await self._engine.load()).leaving
        except errors.EngineError:
            return False

    def _notify(self, source: str) -> None:
        if not self._notified:
            self._notified = True
            logger.info("sidecar.leaving", source=source)
            self._on_leaving()
