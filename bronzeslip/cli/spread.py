"""Which configuration number is in force where."""

import msgspec

from bronzeslip import ids


class DomainStatus(msgspec.Struct, frozen=True):
    """Processes of one failure domain.

    Attributes:
        failure_domain: The failure domain.
        numbers: Processes by the number that they have in force.
        lagging: Processes behind the highest number.
    """

    failure_domain: ids.FailureDomainName
    numbers: dict[str, int] = {}
    lagging: tuple[str, ...] = ()

    @property
    def process_count(self) -> int:
        """Processes known."""
        return sum(self.numbers.values())

    def behind(self, number: int) -> int:
        """Counts the processes that do not have a number in force."""
        return sum(
            count
            for in_force, count in self.numbers.items()
            if int(in_force) < number
        )


class SpreadStatus(msgspec.Struct, frozen=True):
    """Processes of all failure domains.

    Attributes:
        number: Highest number known.
        domains: Status of each failure domain.
    """

    number: ids.ConfigurationNumber
    domains: tuple[DomainStatus, ...] = ()
