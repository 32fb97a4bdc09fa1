"""Observes the processes of gateways while faults are injected."""

from collections.abc import Sequence

from tools import entry_gateway
from tools import memory_watch
from tools.soak import process_record


class ProcessMonitor:
    """Samples the memory of each gateway and tells how processes ended."""

    def __init__(self, gateways: Sequence[entry_gateway.EntryGateway]) -> None:
        self._gateways = gateways
        self._watches: dict[int, memory_watch.MemoryWatch] = {}

    def sample(self) -> None:
        """Samples the memory of the current processes."""
        for gateway in self._gateways:
            self._watch(gateway.process.pid).sample()

    def records(self) -> list[process_record.ProcessRecord]:
        """Returns a record of each process that was started."""
        return [
            process_record.ProcessRecord(
                gateway.name,
                process.has_ended_by_itself,
                process.exit_status,
                self._watch(process.pid).peak_bytes,
                "".join(process.lines[-1:]),
            )
            for gateway in self._gateways
            for process in gateway.processes
        ]

    def _watch(self, process_id: int) -> memory_watch.MemoryWatch:
        if process_id not in self._watches:
            self._watches[process_id] = memory_watch.MemoryWatch(process_id)
        return self._watches[process_id]
