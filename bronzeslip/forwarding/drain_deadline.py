"""Ends requests before a gateway that shuts down is killed."""

import asyncio
from collections.abc import Iterator
import contextlib

import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import errors

# Share of the grace that is left for the last responses, for removing the
# gateway's record and for the exit of the process.
_END_MARGIN_SHARE = 1 / 8
# Share of the grace that is left when connections of clients that have stopped
# sending or reading are aborted. All requests have been answered before.
_ABORT_MARGIN_SHARE = 1 / 16
# Other gateways can take the request at once.
_RETRY_AFTER_S = 0.1


class DrainDeadline:
    """Time by which a gateway that drains has answered all requests.

    What runs after the grace is cut without a response. A request that may not
    be repeated and may last longer is therefore rejected; other requests
    receive an error in time.
    """

    def __init__(self, bounds: vm_config.PlaceBounds) -> None:
        """Creates the deadline of a gateway that does not drain yet.

        Args:
            bounds: Bounds with the grace.
        """
        self._bounds = bounds
        self._end_s: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def set_bounds(self, bounds: vm_config.PlaceBounds) -> None:
        """Replaces the bounds, unless the gateway drains already."""
        self._bounds = bounds

    def begin(self) -> float:
        """Starts the grace and shortens the timeouts of running requests.

        Returns:
            Time after which open connections are aborted, in seconds.
        """
        grace_s = self._bounds.grace_s * (1 - _END_MARGIN_SHARE)
        self._end_s = asyncio.get_running_loop().time() + grace_s
        for timeout in self._timeouts:
            timeout.reschedule(min(timeout.when(), self._end_s))
        return self._bounds.grace_s * (1 - _ABORT_MARGIN_SHARE)

    def limit(
        self, request: admitted.AdmittedRequest
    ) -> admitted.AdmittedRequest:
        """Returns a request with a deadline before the end of the grace.

        Raises:
            errors.NotRunError: If it could only be cut off and may not be
                repeated.
        """
        if self._end_s is None or request.deadline_s <= self._end_s:
            return request
        if not request.route.may_run_again:
            raise errors.NotRunError(
                "the gateway is shutting down", retry_after_s=_RETRY_AFTER_S
            )
        return msgspec.structs.replace(request, deadline_s=self._end_s)

    @contextlib.contextmanager
    def shorten(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Shortens the timeout of a running request if a drain begins.

        Args:
            timeout: Timeout that has been entered.
        """
        self._timeouts.add(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)
