"""Admission by number alone, as the baselines have it."""

from bronzeslip.admission import gate
from bronzeslip.admission import request
from bronzeslip.admission import ticket
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import link


class CountGate:
    """Bounds the number of generations that run and wait."""

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._gate = gate.AdmissionGate(settings)

    @property
    def load(self) -> link.EndpointLoad:
        """What runs and waits now."""
        return self._gate.load

    async def admit(
        self, admission_request: request.AdmissionRequest
    ) -> ticket.Ticket:
        """Waits for a place on the engine."""
        await self._gate.enter(admission_request.expires_in_s)
        return ticket.Ticket(admission_request)

    def record_progress(
        self, admission_ticket: ticket.Ticket, generated_tokens: int
    ) -> None:
        """Has no use for the progress of a generation."""

    def release(
        self, admission_ticket: ticket.Ticket, is_complete: bool
    ) -> None:
        """Gives a place back."""
        self._gate.leave()
