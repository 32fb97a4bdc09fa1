"""Injects faults from outside the processes."""

from collections.abc import Callable
import random
import signal
import time

from tools import entry_configuration
from tools import entry_deployment
from tools import entry_endpoint
from tools import entry_gateway
from tools import local_process
from tools.soak import fault

_FAULT_DURATION_RANGE_S = (0.2, 2.0)
_DRAIN_DURATION_S = 0.8


class Injector:
    """Injects one fault at a time and restarts what the fault stopped."""

    def __init__(
        self,
        deployment: entry_deployment.EntryDeployment,
        rng: random.Random,
        series_index: int,
        series_count: int,
    ) -> None:
        """Creates an injector.

        Args:
            deployment: Deployment to inject faults into.
            rng: Source of random numbers.
            series_index: Index of the series of this injector.
            series_count: Number of series, each of which affects its own
                processes; only the first one changes the configuration.
        """
        self._deployment = deployment
        self._rng = rng
        self._gateways = deployment.gateways[series_index::series_count]
        self._endpoints = deployment.endpoints[series_index::series_count]
        self._may_change_configuration = series_index == 0
        self._version = 1
        self._methods: dict[fault.Fault, Callable[[], None]] = {
            fault.Fault.GATEWAY_KILLED: self._kill_gateway,
            fault.Fault.GATEWAY_RESTARTED: self._restart_gateway,
            fault.Fault.GATEWAY_PAUSED: self._pause_gateway,
            fault.Fault.GATEWAY_RELOADED: self._reload_gateway,
            fault.Fault.STORE_BUSY: lambda: self._fail_store("busy"),
            fault.Fault.STORE_SILENT: lambda: self._fail_store("silent"),
            fault.Fault.STORE_CUT_OFF: self._cut_off_store,
            fault.Fault.HISTORY_LOST: self._discard_history,
            fault.Fault.CONFIGURATION_CHANGED: self._change_configuration,
            fault.Fault.ENDPOINT_KILLED: self._kill_endpoint,
            fault.Fault.ENDPOINT_PAUSED: self._pause_endpoint,
            fault.Fault.ENDPOINT_DRAINED: self._drain_endpoint,
            fault.Fault.LINK_STALLED: self._stall_link,
            fault.Fault.LINK_SILENCED: self._silence_link,
        }

    def inject(self, fault_kind: fault.Fault) -> None:
        """Injects a fault and waits until it is over."""
        self._methods[fault_kind]()

    @property
    def _random_gateway(self) -> entry_gateway.EntryGateway:
        return self._rng.choice(self._gateways)

    @property
    def _random_endpoint(self) -> entry_endpoint.EntryEndpoint:
        return self._rng.choice(self._endpoints)

    def _sleep_fault_duration(self) -> None:
        time.sleep(self._rng.uniform(*_FAULT_DURATION_RANGE_S))

    def _kill_gateway(self) -> None:
        gateway = self._random_gateway
        gateway.process.kill()
        gateway.process.stop()
        gateway.start()

    def _restart_gateway(self) -> None:
        gateway = self._random_gateway
        gateway.process.stop()
        gateway.start()

    def _pause_gateway(self) -> None:
        self._pause(self._random_gateway.process)

    def _reload_gateway(self) -> None:
        gateway = self._random_gateway
        gateway.write_boot_file(retry_slack=self._rng.randint(1, 100))
        gateway.process.send_signal(signal.SIGHUP)

    def _fail_store(self, name: str) -> None:
        self._deployment.set_store_fault(name)
        self._sleep_fault_duration()
        self._deployment.set_store_fault("none")

    def _cut_off_store(self) -> None:
        proxy = self._random_gateway.proxy
        proxy.stall()
        self._sleep_fault_duration()
        proxy.resume()

    def _discard_history(self) -> None:
        self._deployment.discard_history()

    def _change_configuration(self) -> None:
        if not self._may_change_configuration:
            return
        self._version += self._rng.randint(1, 5)
        route = entry_configuration.new_route(f"v{self._version}")
        self._deployment.put_object(
            "config",
            "main",
            entry_configuration.configuration(self._version, route),
        )

    def _kill_endpoint(self) -> None:
        endpoint = self._random_endpoint
        endpoint.restart()
        self._deployment.register(endpoint)

    def _pause_endpoint(self) -> None:
        self._pause(self._random_endpoint.process)

    def _drain_endpoint(self) -> None:
        endpoint = self._random_endpoint
        self._deployment.register(endpoint, "draining")
        time.sleep(_DRAIN_DURATION_S)
        endpoint.restart()
        self._deployment.register(endpoint)

    def _stall_link(self) -> None:
        proxy = self._random_endpoint.proxy
        proxy.stall()
        self._sleep_fault_duration()
        proxy.resume()

    def _silence_link(self) -> None:
        self._rng.choice(
            (self._random_endpoint, self._random_gateway)
        ).proxy.blackhole_open_connections()

    def _pause(self, process: local_process.LocalProcess) -> None:
        process.send_signal(signal.SIGSTOP)
        self._sleep_fault_duration()
        process.send_signal(signal.SIGCONT)
