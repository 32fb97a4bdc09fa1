"""Checks that processes keep running and keep their memory limit."""

from collections.abc import Iterator
from collections.abc import Sequence

from tools import entry_gateway
from tools.soak import invariant
from tools.soak import process_record
from tools.soak import violation

LIMIT_BYTES = entry_gateway.MEMORY_MB * 1_000_000


def check(
    records: Sequence[process_record.ProcessRecord],
) -> Iterator[violation.Violation]:
    """Yields every violation."""
    for record in records:
        if record.ended_by_itself:
            yield violation.Violation(
                invariant.Invariant.PROCESSES_KEEP_RUNNING,
                "",
                f"{record.gateway}: status {record.exit_status}, "
                f"{record.last_line}",
            )
        if record.peak_bytes > LIMIT_BYTES:
            yield violation.Violation(
                invariant.Invariant.MEMORY_WITHIN_LIMIT,
                "",
                f"{record.gateway}: {record.peak_bytes} bytes",
            )
