"""Brings faults about."""

from collections.abc import Callable
import signal
import time

from tools import local_process
from tools.faults import caller
from tools.faults import fault
from tools.faults import fleet

FREEZE_S = 2.5
RECLAIM_NOTICE_S = 1.0
SLOW_DELAY_S = 1.0


class Injector:
    """Brings one fault about on the parts that serve a request."""

    def __init__(
        self,
        ground: fleet.Fleet,
        subject: caller.Caller,
        gateway_index: int,
        endpoint_index: int,
    ) -> None:
        self._fleet = ground
        self._subject = subject
        self._gateway = ground.gateways[gateway_index]
        self._sidecar = ground.sidecars[endpoint_index]
        self._endpoint = ground.endpoints[endpoint_index]
        self._link = ground.links[endpoint_index]

    def inject(self, wanted: fault.Fault) -> None:
        """Brings a fault about; what passes by itself has passed."""
        actions: dict[fault.Fault, Callable[[], None]] = {
            fault.Fault.NONE: lambda: None,
            fault.Fault.KILL_CALLER: self._subject.abandon,
            fault.Fault.FREEZE_CALLER: lambda: time.sleep(FREEZE_S),
            fault.Fault.KILL_GATEWAY: self._gateway.kill,
            fault.Fault.FREEZE_GATEWAY: lambda: _freeze(self._gateway),
            fault.Fault.KILL_SIDECAR: self._sidecar.kill,
            fault.Fault.FREEZE_SIDECAR: lambda: _freeze(self._sidecar),
            fault.Fault.KILL_ENDPOINT: self._endpoint.kill,
            fault.Fault.FREEZE_ENDPOINT: lambda: _freeze(self._endpoint),
            fault.Fault.RECLAIM: self._reclaim,
            fault.Fault.LINK_STALLED: self._stall_link,
            fault.Fault.LINK_SILENT: self._link.silence_existing,
            fault.Fault.PLATFORM_DOWN: lambda: self._platform("outage"),
            fault.Fault.PLATFORM_SLOW: lambda: self._platform("slow"),
            fault.Fault.PLATFORM_LOST_ANSWER: lambda: self._platform(
                "lost-answer", write_count=1
            ),
        }
        actions[wanted]()

    def _reclaim(self) -> None:
        self._sidecar.send(signal.SIGTERM)
        time.sleep(RECLAIM_NOTICE_S)
        self._endpoint.kill()
        self._sidecar.kill()

    def _stall_link(self) -> None:
        self._link.stall()
        time.sleep(FREEZE_S)
        self._link.resume()

    def _platform(self, mode: str, write_count: int = 0) -> None:
        faults = {
            "mode": mode,
            "delay_s": SLOW_DELAY_S,
            "write_count": write_count,
        }
        fleet.post(self._fleet.platform, "/standin/faults", faults)


def _freeze(process: local_process.LocalProcess) -> None:
    process.send(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send(signal.SIGCONT)
