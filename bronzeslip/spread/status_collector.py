"""Collects the configuration status of all processes from the relays."""

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
from bronzeslip.spread import status_aggregator
from bronzeslip.transport import codec
from bronzeslip.transport import connection
from bronzeslip.transport.frames import spread as frames

_ANSWER_TIMEOUT_S = 1.5
# Gateways queried in each failure domain, by round.
_GATEWAYS_PER_ROUND = (2, 4)


class StatusCollector:
    """Collects the summaries of the relays of each failure domain."""

    def __init__(
        self,
        settings: common.CommonSettings,
        aggregator: status_aggregator.StatusAggregator,
        members: directory.MemberDirectory,
        configuration: in_force.ActiveConfiguration,
    ) -> None:
        self._settings = settings
        self._aggregator = aggregator
        self._members = members
        self._configuration = configuration

    async def collect(self) -> status.SpreadStatus:
        """Queries the relays, those that watch the platform first."""
        reports = {self._settings.vm_id: self._aggregator.summary()}
        for size in _GATEWAYS_PER_ROUND:
            chosen = self._select_gateways(size, reports)
            answers = await asyncio.gather(
                *(self._query(gateway.address) for gateway in chosen)
            )
            for gateway, answer in zip(chosen, answers, strict=True):
                reports[gateway.vm_id] = answer
        return self._build_status(merge_distinct(reports))

    def _select_gateways(
        self, size: int, reports: dict[ids.VmId, status_aggregator.Summaries]
    ) -> list[member.Member]:
        """Selects the next gateways of each domain that lacks reports."""
        reported = {
            summary.failure_domain: sum(summary.counts.values())
            for summary in merge_distinct(reports)
        }
        chosen: list[member.Member] = []
        for domain, expected in self._expected_counts().items():
            if reported.get(domain, 0) >= expected:
                continue
            gateways = [
                gateway
                for gateway in self._members.gateways()
                if gateway.failure_domain == domain
                and gateway.vm_id not in reports
            ]
            chosen += rendezvous.ranked(gateways, _vm_id_of)[:size]
        return chosen

    def _expected_counts(self) -> dict[ids.FailureDomainName, int]:
        counts: dict[ids.FailureDomainName, int] = {}
        for process in self._members.members():
            domain = process.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
        return counts

    async def _query(self, address: str) -> status_aggregator.Summaries:
        answer: asyncio.Future[status_aggregator.Summaries] = (
            asyncio.get_running_loop().create_future()
        )

        def resolve(value: status_aggregator.Summaries) -> None:
            if not answer.done():
                answer.set_result(value)

        def on_frame(frame: codec.Frame) -> None:
            if isinstance(frame, frames.StatusAnswer):
                resolve(frame.domains)

        peer_connection = connection.PeerConnection(
            address, self._settings, on_frame, lambda: resolve(())
        )
        peer_connection.send(frames.AskStatus())
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return ()
        finally:
            await peer_connection.close()

    def _build_status(
        self, merged: Iterable[frames.DomainSummary]
    ) -> status.SpreadStatus:
        summaries = {summary.failure_domain: summary for summary in merged}
        number = max(
            self._configuration.number,
            *(n for summary in summaries.values() for n in summary.counts),
        )
        domains = tuple(
            _domain_status(name, summaries.get(name), expected)
            for name, expected in sorted(
                self._all_expected_counts(summaries).items()
            )
        )
        everywhere = all(
            not domain.unreported and set(domain.numbers) <= {number}
            for domain in domains
        )
        return status.SpreadStatus(number, everywhere, domains)

    def _all_expected_counts(
        self, domains: Sequence[ids.FailureDomainName]
    ) -> dict[ids.FailureDomainName, int]:
        """Returns the counts, 0 for a domain without registered members."""
        return dict.fromkeys(domains, 0) | self._expected_counts()


def merge_distinct(
    reports: dict[ids.VmId, status_aggregator.Summaries],
) -> status_aggregator.Summaries:
    """Adds up the reports of gateways, counting each process once.

    The report of a gateway is skipped if an accepted report already includes
    that gateway as a follower.
    """
    covered: dict[ids.VmId, set[ids.VmId]] = {
        vm_id: {name for summary in domains for name in summary.gateways}
        for vm_id, domains in reports.items()
    }
    counted: set[ids.VmId] = set()
    accepted = []
    for vm_id in sorted(covered, key=lambda name: -len(covered[name])):
        if vm_id not in counted:
            counted |= covered[vm_id]
            accepted.append(reports[vm_id])
    return status_aggregator.merge(accepted)


def _domain_status(
    name: ids.FailureDomainName,
    summary: frames.DomainSummary | None,
    expected: int,
) -> status.DomainStatus:
    if summary is None:
        return status.DomainStatus(name, {}, (), expected)
    reported = sum(summary.counts.values())
    lagging = tuple(ids.VmId(laggard.name) for laggard in summary.laggards)
    return status.DomainStatus(
        name, summary.counts, lagging, max(expected - reported, 0)
    )


def _vm_id_of(gateway: member.Member) -> str:
    return gateway.vm_id
