"""Endpoint crashes that occurred while a request was running."""

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.routing import suspect_state

_PUBLISH_TIMEOUT_S = 1.0


class CrashHistory:
    """Records the crashes of one request and rejects it after the second."""

    def __init__(
        self,
        suspects: suspect_list.SuspectList,
        publisher: suspect_publisher.SuspectPublisher,
        fingerprint: ids.Fingerprint,
    ) -> None:
        self._suspects = suspects
        self._publisher = publisher
        self._fingerprint = fingerprint
        self._crash_recorded = False

    @property
    def is_suspect(self) -> bool:
        """Whether the request must not run together with other suspects."""
        state = self._suspects.state_of(self._fingerprint)
        return state is not suspect_state.SuspectState.CLEAR

    async def check_not_quarantined(self) -> None:
        """Checks that the request may be dispatched.

        If a crash was recorded, first waits, up to a timeout, until it has been
        published to the other gateways.

        Raises:
            errors.QuarantinedError: If the request was running at two crashes.
        """
        if self._crash_recorded:
            await self._publisher.wait_published(_PUBLISH_TIMEOUT_S)
        state = self._suspects.state_of(self._fingerprint)
        if state is suspect_state.SuspectState.QUARANTINED:
            raise errors.QuarantinedError(
                "the request was running during two endpoint crashes"
            )

    def record_crash(self, crash_id: ids.CrashId) -> None:
        """Records that an endpoint crashed while running the request."""
        if crash_id:
            self._crash_recorded = True
            self._suspects.add_crash(self._fingerprint, crash_id)
            self._publisher.publish()

    def record_success(self) -> None:
        """Records that an endpoint completed the request."""
        if self._suspects.crashes_of(self._fingerprint):
            self._suspects.clear(self._fingerprint)
            self._publisher.publish()
