"""Serves the replicated objects of a process to other processes."""

from bronzeslip.settings import common
from bronzeslip.spread import hub
from bronzeslip.spread import link_settings
from bronzeslip.spread import packing
from bronzeslip.spread import relay_session
from bronzeslip.spread import status_aggregator
from bronzeslip.transport import stream


class Relay:
    """Server side of the replication; every gateway runs one."""

    def __init__(
        self,
        settings: common.CommonSettings,
        source: hub.PrefixHub,
        aggregator: status_aggregator.StatusAggregator,
    ) -> None:
        self._settings = link_settings.for_relay(settings)
        self._source = source
        self._aggregator = aggregator
        self._packer = packing.EventPacker()

    async def serve(self, peer: stream.PeerStream) -> None:
        """Serves one connection until it ends."""
        session = relay_session.RelaySession(
            self._settings, self._source, self._aggregator, self._packer, peer
        )
        await session.run()
