"""Asks the relays what is in force everywhere."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

from bronzeslip import ids
from bronzeslip.configuration import in_force
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.settings import common
from bronzeslip.spread import status
from bronzeslip.spread import status_board
from bronzeslip.transport import codec
from bronzeslip.transport import connection
from bronzeslip.transport.frames import spread as frames

_ANSWER_TIMEOUT_S = 1.5
_ROUND_SIZES = (2, 4)


class StatusCollector:
    """Collects the summaries of the relays of each failure domain."""

    def __init__(
        self,
        settings: common.CommonSettings,
        board: status_board.StatusBoard,
        members: directory.MemberDirectory,
        holder: in_force.ActiveConfiguration,
    ) -> None:
        self._settings = settings
        self._board = board
        self._members = members
        self._holder = holder

    async def collect(self) -> status.SpreadStatus:
        """Asks the relays, starting with those that watch the platform."""
        reports = {self._settings.vm_id: self._board.summary()}
        for size in _ROUND_SIZES:
            chosen = self._next(size, reports)
            answers = await asyncio.gather(
                *(self._ask(known.address) for known in chosen)
            )
            for known, answer in zip(chosen, answers, strict=True):
                reports[known.vm_id] = answer
        return self._status(merge_distinct(reports))

    def _next(
        self, size: int, reports: dict[ids.VmId, status_board.Summaries]
    ) -> list[member.Member]:
        """Chooses the next gateways of each domain that lacks reports."""
        reported = {
            found.failure_domain: sum(found.counts.values())
            for found in merge_distinct(reports)
        }
        chosen: list[member.Member] = []
        for domain, expected in self._expected().items():
            if reported.get(domain, 0) >= expected:
                continue
            gateways = [
                known
                for known in self._members.gateways()
                if known.failure_domain == domain and known.vm_id not in reports
            ]
            chosen += rendezvous.ranked(gateways, _name_of)[:size]
        return chosen

    def _expected(self) -> dict[ids.FailureDomainName, int]:
        counts: dict[ids.FailureDomainName, int] = {}
        for known in self._members.members():
            domain = known.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
        return counts

    async def _ask(self, address: str) -> status_board.Summaries:
        answer: asyncio.Future[status_board.Summaries] = (
            asyncio.get_running_loop().create_future()
        )

        def settle(value: status_board.Summaries) -> None:
            if not answer.done():
                answer.set_result(value)

        def on_frame(frame: codec.Frame) -> None:
            if isinstance(frame, frames.StatusAnswer):
                settle(frame.domains)

        opened = connection.PeerConnection(
            address, self._settings, on_frame, lambda: settle(())
        )
        opened.send(frames.AskStatus())
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return ()
        finally:
            await opened.close()

    def _status(
        self, merged: Iterable[frames.DomainSummary]
    ) -> status.SpreadStatus:
        found = {summary.failure_domain: summary for summary in merged}
        number = max(
            self._holder.number,
            *(n for summary in found.values() for n in summary.counts),
        )
        domains = tuple(
            _domain_status(name, found.get(name), expected)
            for name, expected in sorted(self._all_expected(found).items())
        )
        everywhere = all(
            not domain.unreported and set(domain.numbers) <= {number}
            for domain in domains
        )
        return status.SpreadStatus(number, everywhere, domains)

    def _all_expected(
        self, found: Sequence[ids.FailureDomainName]
    ) -> dict[ids.FailureDomainName, int]:
        return dict.fromkeys(found, 0) | self._expected()


def merge_distinct(
    reports: dict[ids.VmId, status_board.Summaries],
) -> status_board.Summaries:
    """Adds up reports of gateways, each process once.

    A gateway that another one counts among its followers is left out.
    """
    covered: dict[ids.VmId, set[ids.VmId]] = {
        vm_id: {name for found in domains for name in found.gateways}
        for vm_id, domains in reports.items()
    }
    counted: set[ids.VmId] = set()
    accepted = []
    for vm_id in sorted(covered, key=lambda name: -len(covered[name])):
        if vm_id not in counted:
            counted |= covered[vm_id]
            accepted.append(reports[vm_id])
    return status_board.merge(accepted)


def _domain_status(
    name: ids.FailureDomainName,
    summary: frames.DomainSummary | None,
    expected: int,
) -> status.DomainStatus:
    if summary is None:
        return status.DomainStatus(name, {}, (), expected)
    reported = sum(summary.counts.values())
    lagging = tuple(ids.VmId(late.name) for late in summary.laggards)
    return status.DomainStatus(
        name, summary.counts, lagging, max(expected - reported, 0)
    )


def _name_of(known: member.Member) -> str:
    return known.vm_id
