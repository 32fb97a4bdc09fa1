"""Admission gate of one endpoint."""

import asyncio
import collections

from bronzeslip.admission import errors
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason

_RETRY_AFTER_S = 1.0


class AdmissionGate:
    """Limits the number of running and queued requests of an endpoint."""

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._settings = settings
        self._running = 0
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._draining = False
        self._paused = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def load(self) -> link.EndpointLoad:
        """Current load."""
        return link.EndpointLoad(
            running=self._running,
            queued=len(self._waiters),
            draining=self._refuses_work,
        )

    def drain(self) -> None:
        """Stops admitting requests permanently."""
        self._draining = True

    def pause(self) -> None:
        """Stops admitting requests until resume is called."""
        self._paused = True

    def resume(self) -> None:
        """Resumes admission after a pause unless the endpoint is draining."""
        self._paused = False

    async def enter(self, expires_in_s: float) -> None:
        """Waits until a request may run on the endpoint.

        Args:
            expires_in_s: Maximum wait, in seconds.

        Raises:
            errors.AdmissionRefusedError: If the endpoint admits no requests,
                the queue is full or the wait expires.
        """
        self._check_admissible(expires_in_s)
        if self._running < self._settings.max_running_requests:
            self._increment_running()
            return
        await self._wait(expires_in_s)

    def leave(self) -> None:
        """Releases the slot of a request that has ended."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._decrement_running()

    async def wait_idle(self) -> None:
        """Waits until no request is running or queued."""
        await self._idle.wait()

    @property
    def _refuses_work(self) -> bool:
        return self._draining or self._paused

    def _increment_running(self) -> None:
        self._running += 1
        self._idle.clear()

    def _decrement_running(self) -> None:
        self._running -= 1
        if not self._running:
            self._idle.set()

    def _check_admissible(self, expires_in_s: float) -> None:
        if self._refuses_work:
            raise errors.AdmissionRefusedError(
                reason.RefusalReason.DRAINING, _RETRY_AFTER_S
            )
        if expires_in_s <= 0:
            raise errors.AdmissionRefusedError(
                reason.RefusalReason.EXPIRED, _RETRY_AFTER_S
            )
        is_full = self._running >= self._settings.max_running_requests
        if is_full and len(self._waiters) >= self._settings.max_queued_requests:
            raise errors.AdmissionRefusedError(
                reason.RefusalReason.QUEUE_FULL, _RETRY_AFTER_S
            )

    async def _wait(self, expires_in_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await asyncio.wait_for(waiter, expires_in_s)
        except TimeoutError as error:
            raise errors.AdmissionRefusedError(
                reason.RefusalReason.EXPIRED, _RETRY_AFTER_S
            ) from error
        finally:
            if waiter.cancelled() and waiter in self._waiters:
                self._waiters.remove(waiter)
