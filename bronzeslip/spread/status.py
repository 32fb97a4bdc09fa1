"""Active configuration numbers of all processes."""

import msgspec

from bronzeslip import ids


class DomainStatus(msgspec.Struct, frozen=True):
    """Active configuration numbers of one failure domain.

    Attributes:
        failure_domain: Name of the failure domain.
        numbers: Process count by active configuration number.
        lagging: VMs below the highest number; possibly not all.
        unreported: Count of registered processes without a report.
    """

    failure_domain: ids.FailureDomainName
    numbers: dict[ids.ConfigurationNumber, int]
    lagging: tuple[ids.VmId, ...] = ()
    unreported: int = 0

    @property
    def process_count(self) -> int:
        """Number of processes, with or without a report."""
        return sum(self.numbers.values()) + self.unreported

    def count_at_least(self, number: ids.ConfigurationNumber) -> int:
        """Returns the number of processes at a number or a higher one."""
        return sum(
            count
            for applied_number, count in self.numbers.items()
            if applied_number >= number
        )


class SpreadStatus(msgspec.Struct, frozen=True):
    """Active configuration numbers of all processes.

    Attributes:
        number: Highest known configuration number.
        in_force_everywhere: Whether it is active in every registered process.
        domains: Status of each failure domain.
    """

    number: ids.ConfigurationNumber
    in_force_everywhere: bool
    domains: tuple[DomainStatus, ...]
