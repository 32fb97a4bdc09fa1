"""What a trial has shown about one process of a gateway."""

import msgspec


class ProcessRecord(msgspec.Struct, frozen=True):
    """How one process of a gateway fared.

    Attributes:
        gateway: VM id of the gateway.
        ended_by_itself: Whether it ended without being stopped or killed.
        exit_status: Exit status, or None if it was still running.
        peak_bytes: Largest memory that was observed, in bytes.
        last_line: Last line that it printed.
    """

    gateway: str
    ended_by_itself: bool = False
    exit_status: int | None = None
    peak_bytes: int = 0
    last_line: str = ""
