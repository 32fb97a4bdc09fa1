"""Brings faults about from outside the processes."""

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

_SHORT_S = (0.2, 2.0)
_DRAIN_S = 0.8


class Injector:
    """Brings one fault about at a time; what it ends it starts again."""

    def __init__(
        self,
        deployment: entry_deployment.EntryDeployment,
        rng: random.Random,
        number: int,
        series: int,
    ) -> None:
        """Creates an injector.

        Args:
            deployment: What it harms.
            rng: Source of draws.
            number: Number of its series.
            series: Number of series, each of which harms processes of its
                own; the first one changes the configuration as well.
        """
        self._deployment = deployment
        self._rng = rng
        self._gateways = deployment.gateways[number::series]
        self._endpoints = deployment.endpoints[number::series]
        self._may_configure = number == 0
        self._version = 1
        self._methods: dict[fault.Fault, Callable[[], None]] = {
            fault.Fault.GATEWAY_KILLED: self._kill_gateway,
            fault.Fault.GATEWAY_RESTARTED: self._restart_gateway,
            fault.Fault.GATEWAY_PAUSED: self._pause_gateway,
            fault.Fault.GATEWAY_RELOADED: self._reload_gateway,
            fault.Fault.STORE_BUSY: lambda: self._trouble_store("busy"),
            fault.Fault.STORE_SILENT: lambda: self._trouble_store("silent"),
            fault.Fault.STORE_CUT_OFF: self._cut_off_store,
            fault.Fault.HISTORY_LOST: self._lose_history,
            fault.Fault.CONFIGURATION_CHANGED: self._change_configuration,
            fault.Fault.ENDPOINT_KILLED: self._kill_endpoint,
            fault.Fault.ENDPOINT_PAUSED: self._pause_endpoint,
            fault.Fault.ENDPOINT_DRAINED: self._drain_endpoint,
            fault.Fault.LINK_STALLED: self._stall_link,
            fault.Fault.LINK_SILENCED: self._silence_link,
        }

    def inject(self, wanted: fault.Fault) -> None:
        """Brings a fault about and waits until it is over."""
        self._methods[wanted]()

    @property
    def _gateway(self) -> entry_gateway.EntryGateway:
        return self._rng.choice(self._gateways)

    @property
    def _endpoint(self) -> entry_endpoint.EntryEndpoint:
        return self._rng.choice(self._endpoints)

    def _pause(self) -> None:
        time.sleep(self._rng.uniform(*_SHORT_S))

    def _kill_gateway(self) -> None:
        gateway = self._gateway
        gateway.process.kill()
        gateway.process.stop()
        gateway.start()

    def _restart_gateway(self) -> None:
        gateway = self._gateway
        gateway.process.stop()
        gateway.start()

    def _pause_gateway(self) -> None:
        self._freeze(self._gateway.process)

    def _reload_gateway(self) -> None:
        gateway = self._gateway
        gateway.write_boot(retry_slack=self._rng.randint(1, 100))
        gateway.process.send(signal.SIGHUP)

    def _trouble_store(self, name: str) -> None:
        self._deployment.trouble(name)
        self._pause()
        self._deployment.trouble("none")

    def _cut_off_store(self) -> None:
        way = self._gateway.way
        way.stall()
        self._pause()
        way.resume()

    def _lose_history(self) -> None:
        self._deployment.forget_history()

    def _change_configuration(self) -> None:
        if not self._may_configure:
            return
        self._version += self._rng.randint(1, 5)
        route = entry_configuration.new_route(f"v{self._version}")
        self._deployment.write(
            "config",
            "main",
            entry_configuration.configuration(self._version, route),
        )

    def _kill_endpoint(self) -> None:
        endpoint = self._endpoint
        endpoint.restart()
        self._deployment.register(endpoint)

    def _pause_endpoint(self) -> None:
        self._freeze(self._endpoint.process)

    def _drain_endpoint(self) -> None:
        endpoint = self._endpoint
        self._deployment.register(endpoint, "draining")
        time.sleep(_DRAIN_S)
        endpoint.restart()
        self._deployment.register(endpoint)

    def _stall_link(self) -> None:
        way = self._endpoint.way
        way.stall()
        self._pause()
        way.resume()

    def _silence_link(self) -> None:
        self._rng.choice((self._endpoint, self._gateway)).way.silence_existing()

    def _freeze(self, process: local_process.LocalProcess) -> None:
        process.send(signal.SIGSTOP)
        self._pause()
        process.send(signal.SIGCONT)
