"""Progress of a configuration rollout."""

from bronzeslip.spread import status


class RolloutProgress:
    """Tracks a configuration number until it is in force everywhere.

    Attributes:
        text: Current progress as a message.
    """

    def __init__(self, number: int) -> None:
        """Starts tracking a number.

        Args:
            number: Number to wait for; higher numbers count as well.
        """
        self._number = number
        self.text = f"waiting for number {number}"

    def update(self, latest: status.SpreadStatus) -> bool:
        """Updates the progress from a new status.

        Returns:
            Whether the number is in force everywhere.
        """
        total = sum(domain.process_count for domain in latest.domains)
        in_force_count = sum(
            domain.count_at_least(self._number) for domain in latest.domains
        )
        if total and in_force_count == total:
            self.text = f"number {self._number} is in force everywhere"
            return True
        self.text = (
            f"{in_force_count} of {total} processes have number {self._number}"
        )
        return False
