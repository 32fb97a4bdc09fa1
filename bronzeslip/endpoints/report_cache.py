"""Cache of the latest reports of the model engines."""

import asyncio

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import report


class DatedReport(msgspec.Struct, frozen=True):
    """A report with its time of receipt.

    Attributes:
        report: The report.
        read_s: Time when the report was read, on the event loop's clock, in
            seconds.
    """

    report: report.EngineReport
    read_s: float


class ReportCache:
    """Stores the latest report of each engine."""

    def __init__(self) -> None:
        self._reports: dict[ids.EndpointId, DatedReport] = {}

    def put(
        self, endpoint_id: ids.EndpointId, engine_report: report.EngineReport
    ) -> None:
        """Stores a report that has just been received."""
        now_s = asyncio.get_running_loop().time()
        self._reports[endpoint_id] = DatedReport(engine_report, now_s)

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
