"""What one way to spread costs and how long it takes."""

import dataclasses


@dataclasses.dataclass
class Figures:
    """Figures of one model at one size.

    Attributes:
        method: Way to spread.
        processes: Processes of the fleet.
        messages: Messages between processes for one patch.
        region_messages: Those of them that cross between regions.
        region_bytes: Bytes that cross between regions for one patch.
        process_bytes_per_s: Mean bytes a second of a process at the letter's
            rate of patches, sent and received, headers included.
        gateway_bytes_per_s: The same of a gateway, in the mean.
        max_bytes_per_s: The same of the busiest process.
        platform_calls_per_s: Calls of the platform at rest, a waiting watch
            counted when it starts.
        convergence_s: Time from acceptance until in force everywhere.
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
        """Returns a row of the table."""
        return (
            f"| {self.method} | {self.processes} | {self.messages:.0f} "
            f"| {self.region_messages:.0f} | {self.region_bytes / 1e3:.0f} "
            f"| {self.process_bytes_per_s / 1e3:.2f} "
            f"| {self.gateway_bytes_per_s / 1e3:.2f} "
            f"| {self.max_bytes_per_s / 1e3:.2f} "
            f"| {self.platform_calls_per_s:.1f} | {self.convergence_s:.2f} |"
        )


HEADER = (
    "| way | processes | messages a patch | between regions "
    "| kB between regions | kB/s a process | kB/s a gateway "
    "| kB/s of the busiest "
    "| platform calls/s at rest | in force everywhere, s |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)
