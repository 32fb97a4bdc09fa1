"""Cost and convergence time of a distribution method."""

import dataclasses


@dataclasses.dataclass
class Figures:
    """Figures of one distribution method at one fleet size.

    Attributes:
        method: Name of the distribution method.
        processes: Number of processes in the fleet.
        messages: Messages between processes per patch.
        region_messages: Messages between regions per patch.
        region_bytes: Bytes sent between regions per patch.
        process_bytes_per_s: Mean bytes per second that a process sends and
            receives at the expected patch rate, headers included.
        gateway_bytes_per_s: Mean bytes per second of a gateway.
        max_bytes_per_s: Bytes per second of the busiest process.
        platform_calls_per_s: Platform calls per second without patches; a
            long poll counts when it starts.
        convergence_s: Time from the acceptance of a patch until it is in force
            in all processes, in seconds.
    """

    method: str
    processes: int
    messages: float = 0.0
    region_messages: float = 0.0
    region_bytes: float = 0.0
    process_bytes_per_s: float = 0.0
    gateway_bytes_per_s: float = 0.0
    max_bytes_per_s: float = 0.0
    platform_calls_per_s: float = 0.0
    convergence_s: float = 0.0

    def row(self) -> str:
        """Returns the figures as a row of the table."""
        return (
            f"| {self.method} | {self.processes} | {self.messages:.0f} "
            f"| {self.region_messages:.0f} | {self.region_bytes / 1e3:.0f} "
            f"| {self.process_bytes_per_s / 1e3:.2f} "
            f"| {self.gateway_bytes_per_s / 1e3:.2f} "
            f"| {self.max_bytes_per_s / 1e3:.2f} "
            f"| {self.platform_calls_per_s:.1f} | {self.convergence_s:.2f} |"
        )


HEADER = (
    "| method | processes | messages per patch | between regions "
    "| kB between regions | kB/s per process | kB/s per gateway "
    "| kB/s of the busiest process "
    "| idle platform calls/s | in force everywhere, s |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)
