"""Which configuration number is in force where."""

import msgspec

from bronzeslip import ids


class DomainStatus(msgspec.Struct, frozen=True):
    """What the processes of one failure domain have in force.

    Attributes:
        failure_domain: The failure domain.
        numbers: Processes by the number that they have in force.
        lagging: Some of the VMs behind the highest number.
        unreported: Registered processes that no relay has heard from.
    """

    failure_domain: ids.FailureDomainName
    numbers: dict[ids.ConfigurationNumber, int]
    lagging: tuple[ids.VmId, ...] = ()
    unreported: int = 0

    @property
    def process_count(self) -> int:
        """Processes known, heard from or not."""
        return sum(self.numbers.values()) + self.unreported

    def count_at_least(self, number: ids.ConfigurationNumber) -> int:
        """Counts the processes that have a number or a higher one."""
        return sum(
            count
            for applied_number, count in self.numbers.items()
            if applied_number >= number
        )


class SpreadStatus(msgspec.Struct, frozen=True):
    """What all processes have in force.

    Attributes:
        number: Highest number known.
        in_force_everywhere: Whether every registered process reports it.
        domains: Status of each failure domain.
    """

    number: ids.ConfigurationNumber
    in_force_everywhere: bool
    domains: tuple[DomainStatus, ...]
