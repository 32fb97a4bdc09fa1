"""State that a sidecar keeps for one call."""

import asyncio

from bronzeslip.transport.frames import call as frames


class CallEntry:
    """A call that was accepted, or refused before its dispatch arrived.

    Attributes:
        ticket: Ticket of the call.
        outcome: Set once the call has ended.
        accepted: Whether a dispatch was accepted, so the call may have run.
        ended_at_s: Time of the end on the sidecar's clock, in seconds.
    """

    def __init__(self, ticket: frames.DispatchTicket, accepted: bool) -> None:
        self.ticket = ticket
        self.accepted = accepted
        self.ended_at_s: float | None = None
        self.outcome: asyncio.Future[frames.CallOutcome] = (
            asyncio.get_running_loop().create_future()
        )

    def end(self, outcome: frames.CallOutcome, now_s: float) -> None:
        """Sets the outcome and the time of the end."""
        self.ended_at_s = now_s
        self.outcome.set_result(outcome)

    @property
    def kept_bytes(self) -> int:
        """Size of the stored response body, in bytes."""
        if not self.outcome.done():
            return 0
        ended = self.outcome.result()
        if isinstance(ended, frames.CallFinished):
            return len(ended.body)
        return 0
