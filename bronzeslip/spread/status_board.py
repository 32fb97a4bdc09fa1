"""What a process and its followers have in force."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable

from bronzeslip import ids
from bronzeslip.configuration import in_force
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.transport.frames import spread as frames

MAX_LAGGARDS = 20

Summaries = tuple[frames.DomainSummary, ...]


class StatusBoard:
    """Sums up configuration numbers by failure domain."""

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        holder: in_force.ActiveConfiguration,
    ) -> None:
        """Creates a board.

        Args:
            settings: VM id and failure domain of this process.
            role: Program that the process runs.
            holder: Configuration in force here.
        """
        self._settings = settings
        self._role = role
        self._holder = holder
        self._reports: dict[Hashable, Summaries] = {}
        self._listeners: set[Callable[[], None]] = set()
        holder.add_listener(self._notify)

    def put(self, follower: Hashable, domains: Summaries) -> None:
        """Takes a follower's latest report."""
        self._reports[follower] = domains
        self._notify()

    def remove(self, follower: Hashable) -> None:
        """Forgets a follower that has gone."""
        if self._reports.pop(follower, None) is not None:
            self._notify()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each change from now on."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stops calling a listener."""
        self._listeners.discard(listener)

    def summary(self) -> Summaries:
        """Sums up this process and all that report to it."""
        own = self._own()
        return merge((own, *self._reports.values()))

    def _own(self) -> Summaries:
        number = self._holder.number
        vm_id = self._settings.vm_id
        is_gateway = self._role is member.MemberRole.GATEWAY
        return (
            frames.DomainSummary(
                self._settings.failure_domain,
                {number: 1},
                (frames.Laggard(vm_id, number),),
                (vm_id,) if is_gateway else (),
            ),
        )

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()


def merge(reports: Iterable[Summaries]) -> Summaries:
    """Adds up summaries; each failure domain stands once in the result."""
    merged: dict[ids.FailureDomainName, frames.DomainSummary] = {}
    for domains in reports:
        for found in domains:
            known = merged.get(found.failure_domain)
            merged[found.failure_domain] = (
                found if known is None else _add(known, found)
            )
    return _without_current(merged)


def _add(
    left: frames.DomainSummary, right: frames.DomainSummary
) -> frames.DomainSummary:
    counts = dict(left.counts)
    for number, count in right.counts.items():
        counts[number] = counts.get(number, 0) + count
    laggards = sorted(
        (*left.laggards, *right.laggards), key=lambda found: found.number
    )
    return frames.DomainSummary(
        left.failure_domain,
        counts,
        tuple(laggards[:MAX_LAGGARDS]),
        left.gateways + right.gateways,
    )


def _without_current(
    merged: dict[ids.FailureDomainName, frames.DomainSummary],
) -> Summaries:
    highest = max(
        (number for found in merged.values() for number in found.counts),
        default=0,
    )
    return tuple(
        frames.DomainSummary(
            found.failure_domain,
            found.counts,
            tuple(late for late in found.laggards if late.number < highest),
            found.gateways,
        )
        for _, found in sorted(merged.items())
    )
