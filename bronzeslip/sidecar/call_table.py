"""Non-idempotent calls known to one sidecar.

All times in this module are read from the sidecar's own monotonic clock. A
dispatch carries a ticket that this incarnation issued, so a stale dispatch is
recognized by its ticket, however long it was delayed and whatever the clocks
of other machines show.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import call_entry
from bronzeslip.transport.frames import call as frames
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RETRY_AFTER_S = 1.0
_EVICTION_INTERVAL_S = 1.0

SendCall = Callable[[frames.StartCall], Awaitable[frames.CallOutcome]]


class CallTable:
    """Runs each call at most once and keeps its outcome for a limited time."""

    def __init__(
        self,
        settings: sidecar.SidecarSettings,
        incarnation_id: ids.IncarnationId,
        send: SendCall,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty table.

        Args:
            settings: Dispatch window, and limits on the size and age of the
                outcomes kept.
            incarnation_id: Incarnation of this sidecar.
            send: Runs a call on the endpoint and returns its outcome.
            clock: Monotonic clock, in seconds.
        """
        self._settings = settings
        self._incarnation_id = incarnation_id
        self._send = send
        self._clock = clock
        self._entries: dict[ids.CallId, call_entry.CallEntry] = {}
        self._tasks = task_set.TaskSet()
        self._kept_bytes = 0
        self._latest_evicted_issued_s = float("-inf")
        self._next_eviction_s = clock()

    def issue_ticket(self) -> frames.DispatchTicket:
        """Issues a ticket that is valid for the dispatch window from now."""
        return frames.DispatchTicket(self._incarnation_id, self._clock())

    async def run(self, start: frames.StartCall) -> frames.CallOutcome:
        """Starts a call, or waits for the run with the same id."""
        entry = self._entries.get(start.call_id)
        if entry is None:
            refusal = self._refusal(start.ticket)
            if refusal is not None:
                return _refused(start.call_id, refusal)
            entry = self._add(start.call_id, start.ticket, accepted=True)
            self._tasks.start("call", self._run(start, entry))
        return await asyncio.shield(entry.outcome)

    async def query(
        self, request: frames.QueryCall
    ) -> frames.CallOutcome | frames.CallPending:
        """Returns the outcome of a call, or that it is pending."""
        entry = self._entries.get(request.call_id)
        if entry is None:
            return self._answer_without_entry(request)
        if request.settle or entry.outcome.done():
            return await asyncio.shield(entry.outcome)
        return frames.CallPending(request.call_id)

    def _evict_expired(self) -> None:
        now_s = self._clock()
        if now_s < self._next_eviction_s:
            return
        self._next_eviction_s = now_s + _EVICTION_INTERVAL_S
        for call_id, entry in list(self._entries.items()):
            if self._may_evict(entry, now_s):
                self._evict(call_id, entry)

    def _may_evict(self, entry: call_entry.CallEntry, now_s: float) -> bool:
        if entry.ended_at_s is None or self._is_valid(entry.ticket):
            return False
        over_limit = self._kept_bytes > self._settings.kept_calls_bytes
        return (
            over_limit or now_s - entry.ended_at_s > self._settings.call_grace_s
        )

    def _answer_without_entry(
        self, request: frames.QueryCall
    ) -> frames.CallOutcome | frames.CallPending:
        ticket = request.ticket
        # An earlier incarnation may have run the call, or this one may have
        # run it and evicted its entry.
        if (
            ticket.incarnation_id != self._incarnation_id
            or ticket.issued_s <= self._latest_evicted_issued_s
        ):
            return frames.CallOutcomeUnknown(request.call_id)
        if not self._is_valid(ticket):
            return _refused(request.call_id, reason.RefusalReason.EXPIRED)
        if not request.settle:
            return frames.CallPending(request.call_id)
        refused = _refused(request.call_id, reason.RefusalReason.CANCELLED)
        entry = self._add(request.call_id, ticket, accepted=False)
        entry.end(refused, self._clock())
        return refused

    def _refusal(
        self, ticket: frames.DispatchTicket | None
    ) -> reason.RefusalReason | None:
        if ticket is None:
            return reason.RefusalReason.EXPIRED
        if ticket.incarnation_id != self._incarnation_id:
            return reason.RefusalReason.WRONG_INCARNATION
        if not self._is_valid(ticket):
            return reason.RefusalReason.EXPIRED
        return None

    def _is_valid(self, ticket: frames.DispatchTicket) -> bool:
        age_s = self._clock() - ticket.issued_s
        return age_s <= self._settings.dispatch_window_s

    def _add(
        self,
        call_id: ids.CallId,
        ticket: frames.DispatchTicket,
        *,
        accepted: bool,
    ) -> call_entry.CallEntry:
        self._evict_expired()
        entry = call_entry.CallEntry(ticket, accepted)
        self._entries[call_id] = entry
        return entry

    def _evict(self, call_id: ids.CallId, entry: call_entry.CallEntry) -> None:
        del self._entries[call_id]
        self._kept_bytes -= entry.kept_bytes
        if entry.accepted:
            self._latest_evicted_issued_s = max(
                self._latest_evicted_issued_s, entry.ticket.issued_s
            )

    async def _run(
        self, start: frames.StartCall, entry: call_entry.CallEntry
    ) -> None:
        outcome: frames.CallOutcome = frames.CallOutcomeUnknown(start.call_id)
        try:
            outcome = await self._send(start)
        finally:
            entry.end(outcome, self._clock())
            self._kept_bytes += entry.kept_bytes


def _refused(
    call_id: ids.CallId, refusal: reason.RefusalReason
) -> frames.CallRefused:
    return frames.CallRefused(call_id, refusal, _RETRY_AFTER_S)
