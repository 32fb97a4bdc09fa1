"""Injects faults into a deployment."""

from collections.abc import Callable
import signal
import time

from tools import local_process
from tools.faults import caller
from tools.faults import fault
from tools.faults import trial_deployment

FREEZE_S = 2.5
RECLAIM_NOTICE_S = 1.0
SLOW_DELAY_S = 1.0


class Injector:
    """Injects one fault into the components that serve a request."""

    def __init__(
        self,
        deployment: trial_deployment.TrialDeployment,
        held_caller: caller.Caller,
        gateway_index: int,
        endpoint_index: int,
    ) -> None:
        """Creates an injector.

        Args:
            deployment: Deployment to inject faults into.
            held_caller: Caller whose request is held at a step.
            gateway_index: Index of the gateway that faults affect.
            endpoint_index: Index of the endpoint, and of its sidecar and link,
                that faults affect.
        """
        self._deployment = deployment
        self._held_caller = held_caller
        self._gateway = deployment.gateways[gateway_index]
        self._sidecar = deployment.sidecars[endpoint_index]
        self._endpoint = deployment.endpoints[endpoint_index]
        self._proxy = deployment.proxies[endpoint_index]

    def inject(self, fault_kind: fault.Fault) -> None:
        """Injects a fault; freezes and stalls are over when it returns."""
        actions: dict[fault.Fault, Callable[[], None]] = {
            fault.Fault.NONE: lambda: None,
            fault.Fault.KILL_CALLER: self._held_caller.abandon,
            fault.Fault.FREEZE_CALLER: lambda: time.sleep(FREEZE_S),
            fault.Fault.KILL_GATEWAY: self._gateway.kill,
            fault.Fault.FREEZE_GATEWAY: lambda: _freeze(self._gateway),
            fault.Fault.KILL_SIDECAR: self._sidecar.kill,
            fault.Fault.FREEZE_SIDECAR: lambda: _freeze(self._sidecar),
            fault.Fault.KILL_ENDPOINT: self._endpoint.kill,
            fault.Fault.FREEZE_ENDPOINT: lambda: _freeze(self._endpoint),
            fault.Fault.RECLAIM: self._reclaim,
            fault.Fault.LINK_STALLED: self._stall_link,
            fault.Fault.LINK_SILENT: self._proxy.blackhole_open_connections,
            fault.Fault.PLATFORM_DOWN: lambda: self._set_platform_fault(
                "outage"
            ),
            fault.Fault.PLATFORM_SLOW: lambda: self._set_platform_fault("slow"),
            fault.Fault.PLATFORM_LOST_ANSWER: lambda: self._set_platform_fault(
                "lost-answer", write_count=1
            ),
        }
        actions[fault_kind]()

    def _reclaim(self) -> None:
        self._sidecar.send_signal(signal.SIGTERM)
        time.sleep(RECLAIM_NOTICE_S)
        self._endpoint.kill()
        self._sidecar.kill()

    def _stall_link(self) -> None:
        self._proxy.stall()
        time.sleep(FREEZE_S)
        self._proxy.resume()

    def _set_platform_fault(self, mode: str, write_count: int = 0) -> None:
        faults = {
            "mode": mode,
            "delay_s": SLOW_DELAY_S,
            "write_count": write_count,
        }
        trial_deployment.post(
            self._deployment.platform, "/standin/faults", faults
        )


def _freeze(process: local_process.LocalProcess) -> None:
    process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
