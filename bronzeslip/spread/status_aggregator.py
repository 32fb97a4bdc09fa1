"""Active configuration numbers of a process and its followers."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip.configuration import in_force
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.transport.frames import spread as frames

MAX_LAGGARDS = 20

Summaries = tuple[frames.DomainSummary, ...]


class StatusAggregator:
    """Counts processes by failure domain and configuration number."""

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        configuration: in_force.ActiveConfiguration,
    ) -> None:
        """Creates an aggregator.

        Args:
            settings: VM id and failure domain of this process.
            role: Role of the process.
            configuration: Active configuration of this process.
        """
        self._settings = settings
        self._role = role
        self._configuration = configuration
        self._reports: dict[Hashable, Summaries] = {}
        self._listeners = listeners.Listeners[[]]("status")
        configuration.add_listener(self._notify)

    def set_report(self, follower: Hashable, domains: Summaries) -> None:
        """Stores the latest report of a follower."""
        self._reports[follower] = domains
        self._notify()

    def remove_report(self, follower: Hashable) -> None:
        """Removes the report of a disconnected follower."""
        if self._reports.pop(follower, None) is not None:
            self._notify()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener."""
        self._listeners.remove(listener)

    def summary(self) -> Summaries:
        """Returns the summary of this process and all its followers."""
        own = self._own_summary()
        return merge((own, *self._reports.values()))

    def _own_summary(self) -> Summaries:
        number = self._configuration.number
        vm_id = self._settings.vm_id
        is_gateway = self._role is member.MemberRole.GATEWAY
        return (
            frames.DomainSummary(
                self._settings.failure_domain,
                {number: 1},
                # Dropped by merge if no process has a higher number.
                (frames.Laggard(vm_id, number),),
                (vm_id,) if is_gateway else (),
            ),
        )

    def _notify(self) -> None:
        self._listeners.notify()


def merge(reports: Iterable[Summaries]) -> Summaries:
    """Adds up summaries into one for each failure domain."""
    merged: dict[ids.FailureDomainName, frames.DomainSummary] = {}
    for domains in reports:
        for summary in domains:
            previous = merged.get(summary.failure_domain)
            merged[summary.failure_domain] = (
                summary
                if previous is None
                else _add_summaries(previous, summary)
            )
    return _drop_up_to_date_laggards(merged)


def _add_summaries(
    left: frames.DomainSummary, right: frames.DomainSummary
) -> frames.DomainSummary:
    counts = dict(left.counts)
    for number, count in right.counts.items():
        counts[number] = counts.get(number, 0) + count
    laggards = sorted(
        (*left.laggards, *right.laggards), key=lambda laggard: laggard.number
    )
    return frames.DomainSummary(
        left.failure_domain,
        counts,
        tuple(laggards[:MAX_LAGGARDS]),
        left.gateways + right.gateways,
    )


def _drop_up_to_date_laggards(
    merged: dict[ids.FailureDomainName, frames.DomainSummary],
) -> Summaries:
    """Drops the laggards at the highest number of all domains."""
    highest = max(
        (number for summary in merged.values() for number in summary.counts),
        default=0,
    )
    return tuple(
        frames.DomainSummary(
            summary.failure_domain,
            summary.counts,
            tuple(
                laggard
                for laggard in summary.laggards
                if laggard.number < highest
            ),
            summary.gateways,
        )
        for _, summary in sorted(merged.items())
    )
