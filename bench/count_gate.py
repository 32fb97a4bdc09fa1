"""Admission by the number of generations, used by the baselines."""

from bronzeslip.admission import gate
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import link


class CountGate:
    """Limits the number of running and waiting generations."""

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._gate = gate.AdmissionGate(settings)

    @property
    def load(self) -> link.EndpointLoad:
        """Number of generations that run and wait now."""
        return self._gate.load

    async def admit(
        self, admission_request: request.AdmissionRequest
    ) -> ticket.Ticket:
        """Waits until a generation may run on the engine."""
        await self._gate.enter(admission_request.expires_in_s)
        return ticket.Ticket(admission_request)

    def record_progress(
        self, admission_ticket: ticket.Ticket, generated_tokens: int
    ) -> None:
        """Ignores the progress of a generation."""

    def release(
        self, admission_ticket: ticket.Ticket, is_complete: bool
    ) -> None:
        """Releases the slot of a generation."""
        self._gate.leave()
