"""Latest reports of the model engines."""

import asyncio

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import report


class ReceivedReport(msgspec.Struct, frozen=True):
    """A report and when it was read.

    Attributes:
        report: The report.
        received_s: When it was read, on the loop's clock.
    """

    report: report.EngineReport
    received_s: float


class ReportCache:
    """Keeps the latest report of each engine."""

    def __init__(self) -> None:
        self._reports: dict[ids.EndpointId, ReceivedReport] = {}

    def put(
        self, endpoint_id: ids.EndpointId, engine_report: report.EngineReport
    ) -> None:
        """Takes a report that has just been read."""
        now_s = asyncio.get_running_loop().time()
        self._reports[endpoint_id] = ReceivedReport(engine_report, now_s)

    def get(self, endpoint_id: ids.EndpointId) -> ReceivedReport | None:
        """Returns the latest report of an engine, or None."""
        return self._reports.get(endpoint_id)

    @property
    def mean_used_tokens(self) -> int:
        """Mean memory taken at the engines that are read, in tokens."""
        if not self._reports:
            return 0
        used = [
            received.report.used_tokens for received in self._reports.values()
        ]
        return sum(used) // len(used)

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Drops the report of an engine that is gone."""
        self._reports.pop(endpoint_id, None)
