"""Standby copy of one run, kept while an engine runs it."""

import asyncio

from bronzeslip import task_set
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import components
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import standby_keeper


class RunStandby:
    """Starts and stops the keeper of a run's copy."""

    def __init__(
        self,
        shared: components.ForwardingComponents,
        request: admitted.AdmittedRequest,
    ) -> None:
        """Initializes the standby.

        Args:
            shared: Shared components of the gateway.
            request: Request whose run is copied.
        """
        self._components = shared
        self._request = request
        self._keeper: standby_keeper.StandbyKeeper | None = None
        self._task: asyncio.Task | None = None

    def start(self, source: endpoint.Endpoint) -> None:
        """Keeps a copy from now on, unless one is kept or none is of use.

        Args:
            source: Engine that runs the request.
        """
        if self._task is not None or not self._is_useful():
            return
        self._keeper = standby_keeper.StandbyKeeper(
            self._components, self._request, source
        )
        self._task = task_set.start("standby", self._keeper.run())

    def stop(self) -> standby_copy.StandbyCopy | None:
        """Stops keeping a copy.

        Returns:
            The last copy, or None if there is none.
        """
        copy = self._keeper.copy if self._keeper else None
        if self._task is not None:
            self._task.cancel()
        self._keeper = None
        self._task = None
        return copy

    def release(self) -> None:
        """Frees the copy of a run that is complete."""
        if self._keeper is not None and self._keeper.copy is not None:
            self._components.releaser.release(self._keeper.copy)

    def _is_useful(self) -> bool:
        engine = self._request.service.engine
        if engine is None or not engine.can_move:
            return False
        return chooser.is_long_generation(self._request)
