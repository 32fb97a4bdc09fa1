"""Counters of the messages between processes."""

import collections

from bench.spread import fleet
from bronzeslip.membership import member


class Traffic:
    """Counts messages and bytes in total, by process and between regions."""

    def __init__(self) -> None:
        self.messages = 0
        self.region_messages = 0
        self.region_bytes = 0
        self.bytes_by_vm: collections.Counter[str] = collections.Counter()

    def count(
        self, sender: member.Member, receiver: member.Member, size_bytes: int
    ) -> None:
        """Counts a message, headers included."""
        size_bytes += fleet.HEADER_BYTES
        self.messages += 1
        self.bytes_by_vm[sender.vm_id] += size_bytes
        self.bytes_by_vm[receiver.vm_id] += size_bytes
        if sender.region != receiver.region:
            self.region_messages += 1
            self.region_bytes += size_bytes

    def mean_bytes(self, processes: int) -> float:
        """Returns the mean bytes sent and received per process."""
        return sum(self.bytes_by_vm.values()) / processes

    def max_bytes(self) -> int:
        """Returns the bytes sent and received by the busiest process."""
        return max(self.bytes_by_vm.values(), default=0)
