"""What a sidecar remembers of one call."""

import asyncio

from bronzeslip.transport.frames import call as frames


class CallEntry:
    """One call that has arrived, or that is refused before it does.

    Attributes:
        ticket: Ticket of the call.
        outcome: Set once the call has ended.
        accepted: Whether a dispatch was accepted; it may have been run.
        ended_at_s: When it ended on the sidecar's clock, in seconds.
    """

    def __init__(self, ticket: frames.DispatchTicket, accepted: bool) -> None:
        self.ticket = ticket
        self.accepted = accepted
        self.ended_at_s: float | None = None
        self.outcome: asyncio.Future[frames.CallOutcome] = (
            asyncio.get_running_loop().create_future()
        )

    def end(self, outcome: frames.CallOutcome, now_s: float) -> None:
        """Sets the outcome."""
        self.ended_at_s = now_s
        self.outcome.set_result(outcome)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answer kept."""
        if not self.outcome.done():
            return 0
        ended = self.outcome.result()
        if isinstance(ended, frames.CallFinished):
            return len(ended.body)
        return 0
