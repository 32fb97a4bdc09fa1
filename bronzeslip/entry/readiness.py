"""Readiness of a gateway for new callers."""

from bronzeslip.endpoints import directory
from bronzeslip.routes import current


class Readiness:
    """Ready from the first configuration and endpoint until the drain.

    A gateway that follows evacuations has to have listed them, too.

    A later outage of the store does not affect readiness, since the gateway
    keeps serving with the last known configuration and endpoints.
    """

    def __init__(
        self,
        current_table: current.CurrentTable,
        endpoint_directory: directory.EndpointDirectory,
    ) -> None:
        self._current_table = current_table
        self._endpoint_directory = endpoint_directory
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts new callers."""
        if self._is_draining or self._current_table.table is None:
            return False
        if not self._endpoint_directory.evacuated_domains.is_ready:
            return False
        return bool(self._endpoint_directory.endpoints)

    def drain(self) -> None:
        """Ends readiness permanently."""
        self._is_draining = True
