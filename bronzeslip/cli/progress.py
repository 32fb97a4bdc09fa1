"""How far a configuration number has come into force."""

from bronzeslip.spread import status


class InForceProgress:
    """Follows one number until it is in force everywhere."""

    def __init__(self, number: int) -> None:
        """Follows a number.

        Args:
            number: Number that is to be in force, or a higher one.
        """
        self._number = number
        self.text = f"waiting for number {number}"

    def take(self, latest: status.SpreadStatus) -> bool:
        """Takes a new status.

        Returns:
            Whether the number is in force everywhere.
        """
        total = sum(domain.process_count for domain in latest.domains)
        done = sum(
            domain.count_at_least(self._number) for domain in latest.domains
        )
        if total and done == total:
            self.text = f"number {self._number} is in force everywhere"
            return True
        self.text = f"{done} of {total} processes have number {self._number}"
        return False
