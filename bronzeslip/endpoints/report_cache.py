"""Cache of the latest reports of the model engines."""

import asyncio
from collections.abc import Callable

import msgspec

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip.endpoints import report

# Age of a report when it is received. The platform documentation states some
# hundred milliseconds.
REPORT_LAG_S = 0.5


class DatedReport(msgspec.Struct, frozen=True):
    """A report with its time of receipt.

    Attributes:
        report: The report.
        read_s: Time when the report was read, on the event loop's clock, in
            seconds.
    """

    report: report.EngineReport
    read_s: float

    @property
    def state_s(self) -> float:
        """Time of the state that it describes, on the same clock."""
        return self.read_s - REPORT_LAG_S


class ReportCache:
    """Stores the latest report of each engine."""

    def __init__(self) -> None:
        self._reports: dict[ids.EndpointId, DatedReport] = {}
        self._listeners: listeners.Listeners[[ids.EndpointId, DatedReport]] = (
            listeners.Listeners("report")
        )

    def add_listener(
        self, listener: Callable[[ids.EndpointId, DatedReport], object]
    ) -> None:
        """Registers a callback for reports that are stored."""
        self._listeners.add(listener)

    def put(
        self, endpoint_id: ids.EndpointId, engine_report: report.EngineReport
    ) -> None:
        """Stores a report that has just been received."""
        now_s = asyncio.get_running_loop().time()
        dated = DatedReport(engine_report, now_s)
        self._reports[endpoint_id] = dated
        self._listeners.notify(endpoint_id, dated)

    def get(self, endpoint_id: ids.EndpointId) -> DatedReport | None:
        """Returns the latest report of an engine, or None without one."""
        return self._reports.get(endpoint_id)

    @property
    def mean_used_tokens(self) -> int:
        """Mean used memory of the reporting engines, in tokens."""
        if not self._reports:
            return 0
        used = [
            received.report.used_tokens for received in self._reports.values()
        ]
        return sum(used) // len(used)

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes the report of an engine that is gone."""
        self._reports.pop(endpoint_id, None)
