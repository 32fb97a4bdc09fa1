"""Whether a gateway takes new callers."""

from bronzeslip.endpoints import directory
from bronzeslip.routes import current


class Readiness:
    """Is ready once a configuration is known, until the drain begins.

    A store that is away later changes nothing, since what is known of
    configuration and endpoints goes on serving.
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
        """Whether new callers are welcome."""
        if self._is_draining or self._current_table.table is None:
            return False
        return bool(self._endpoint_directory.endpoints)

    def drain(self) -> None:
        """Stops being ready for good."""
        self._is_draining = True
