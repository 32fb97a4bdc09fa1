"""Injects faults from outside the processes."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import signal
import socket
import time

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import entry_endpoint
from tools import entry_gateway
from tools import local_process
from tools import unreadable_entries
from tools.soak import disturbance
from tools.soak import fault
from tools.soak import large_bodies
from tools.soak import limit_checker
from tools.soak import place_faults
from tools.soak import poison_prompts
from tools.soak import settings_faults

_FAULT_DURATION_RANGE_S = (0.2, 2.0)
_DRAIN_DURATION_S = 0.8
_LEAVING_DURATION_S = 4.0
_PAUSE_RANGE_S = (0.6, 2.5)
_LIMIT_RANGE_PER_S = (0.5, 4.0)
# Covers a window after the time from which a limit must be kept.
_LIMIT_DURATION_S = limit_checker.CONTACT_S + 4.5
_UNREADABLE_LIMIT_SHARE = 0.2
_RESTORED_AGE_RANGE_S = (0.2, 6.0)
# Time in which a disturbed connection may still deliver what was sent before.
_AFTERMATH_S = 2.0


class Injector:
    """Injects one fault at a time and restarts what the fault stopped.

    Attributes:
        disturbances: Disturbances that excuse gateways.
        poison_prompts: Sends prompts that crash engines.
        places: Injects faults of locations, load and the coordinator.
        large_bodies: Sends bursts of large bodies.
    """

    def __init__(
        self,
        deployment: entry_deployment.EntryDeployment,
        rng: random.Random,
        series_index: int,
        series_count: int,
        place_rng: random.Random,
    ) -> None:
        """Creates an injector.

        Args:
            deployment: Deployment to inject faults into.
            rng: Source of random numbers.
            series_index: Index of the series of this injector.
            series_count: Number of series, each of which affects its own
                processes; only the first one changes the configuration.
            place_rng: Source of random numbers of the separate faults.
        """
        self._deployment = deployment
        self._rng = rng
        self._gateways = deployment.gateways[series_index::series_count]
        self._endpoints = deployment.endpoints[series_index::series_count]
        self._may_change_configuration = series_index == 0
        self._version = 1
        self.poison_prompts = poison_prompts.PoisonPrompts(
            deployment, self._gateways, rng
        )
        self.large_bodies = large_bodies.LargeBodies(rng)
        self.places = place_faults.PlaceFaults(
            deployment,
            self._gateways,
            self._endpoints,
            self._kill,
            place_rng,
        )
        self.disturbances: list[disturbance.Disturbance] = []
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
            fault.Fault.STORE_RESTORED: self._restore_store,
            fault.Fault.ENDPOINT_ANNOUNCES_LEAVING: self._announce_leaving,
            fault.Fault.ENDPOINT_STATES_LIMIT: self._state_limit,
            fault.Fault.ENDPOINT_ASKS_FOR_PAUSE: self._ask_for_pause,
            fault.Fault.POISON_PROMPTS_SENT: self.poison_prompts.send_series,
            fault.Fault.UNREADABLE_ENTRY_WRITTEN: self._write_unreadable_entry,
            fault.Fault.SETTINGS_CUT_AND_RELOADED: self._cut_settings,
            fault.Fault.SETTINGS_CUT_AND_RESTARTED: self._start_with_cut_file,
            fault.Fault.PORT_TAKEN_AT_RESTART: self._start_without_port,
            fault.Fault.LARGE_BODIES_SENT: self._send_large_bodies,
            **self.places.methods,
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

    @contextlib.contextmanager
    def _record(self, name: str) -> Iterator[None]:
        """Records a disturbance of a gateway or endpoint."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            ended_s = time.monotonic() + _AFTERMATH_S
            self.disturbances.append(
                disturbance.Disturbance(name, started_s, ended_s)
            )

    def _kill_gateway(self) -> None:
        self._kill(self._random_gateway)

    def _kill(self, gateway: entry_gateway.EntryGateway) -> None:
        with self._record(gateway.name):
            gateway.process.kill()
            gateway.process.stop()
            gateway.start()

    def _restart_gateway(self) -> None:
        gateway = self._random_gateway
        with self._record(gateway.name):
            gateway.process.stop()
            gateway.start()

    def _pause_gateway(self) -> None:
        gateway = self._random_gateway
        with self._record(gateway.name):
            self._pause(gateway.process)

    def _reload_gateway(self) -> None:
        gateway = self._random_gateway
        gateway.write_boot_file(retry_slack=self._rng.randint(1, 100))
        gateway.process.send_signal(signal.SIGHUP)

    def _fail_store(self, name: str) -> None:
        with self._record(disturbance.STORE):
            self._deployment.set_store_fault(name)
            self._sleep_fault_duration()
            self._deployment.set_store_fault("none")

    def _cut_off_store(self) -> None:
        gateway = self._random_gateway
        with self._record(disturbance.link_to_store(gateway.name)):
            gateway.proxy.stall()
            self._sleep_fault_duration()
            gateway.proxy.resume()

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
            self._deployment.configuration(self._version, route),
        )

    def _kill_endpoint(self) -> None:
        endpoint = self._random_endpoint
        endpoint.restart()
        self._deployment.register(endpoint)

    def _pause_endpoint(self) -> None:
        endpoint = self._random_endpoint
        with self._record(disturbance.process_of(endpoint.endpoint_id)):
            self._pause(endpoint.process)

    def _drain_endpoint(self) -> None:
        endpoint = self._random_endpoint
        self._deployment.register(endpoint, "draining")
        time.sleep(_DRAIN_DURATION_S)
        endpoint.restart()
        self._deployment.register(endpoint)

    def _stall_link(self) -> None:
        endpoint = self._random_endpoint
        with self._record(endpoint.endpoint_id):
            endpoint.proxy.stall()
            self._sleep_fault_duration()
            endpoint.proxy.resume()

    def _silence_link(self) -> None:
        endpoint, gateway = self._random_endpoint, self._random_gateway
        if self._rng.random() < 0.5:
            with self._record(endpoint.endpoint_id):
                endpoint.proxy.blackhole_open_connections()
        else:
            with self._record(disturbance.link_to_store(gateway.name)):
                gateway.proxy.blackhole_open_connections()

    def _restore_store(self) -> None:
        """Restores the store; operator and endpoints write again."""
        with self._record(disturbance.STORE):
            self._deployment.set_store_fault("busy")
            self._deployment.restore_store(
                self._rng.uniform(*_RESTORED_AGE_RANGE_S)
            )
            self._deployment.set_store_fault("none")
            self._sleep_fault_duration()
            self._deployment.write_all_again()

    def _announce_leaving(self) -> None:
        endpoint = self._random_endpoint
        endpoint.leave()
        time.sleep(_LEAVING_DURATION_S)
        endpoint.restart()
        self._deployment.register(endpoint)

    def _ask_for_pause(self) -> None:
        duration_s = self._rng.uniform(*_PAUSE_RANGE_S)
        self._random_endpoint.pause(duration_s)
        time.sleep(duration_s)

    def _state_limit(self) -> None:
        endpoint = self._random_endpoint
        rate_per_s = self._rng.uniform(*_LIMIT_RANGE_PER_S)
        is_unreadable = self._rng.random() < _UNREADABLE_LIMIT_SHARE
        # A poison prompt of another series may have crashed the endpoint.
        with contextlib.suppress(httpx.TransportError):
            endpoint.state_limit(
                "many" if is_unreadable else f"{rate_per_s:.1f}"
            )
        time.sleep(_LIMIT_DURATION_S)
        with contextlib.suppress(httpx.TransportError):
            endpoint.end_limit()

    def _write_unreadable_entry(self) -> None:
        name = "odd"
        item = self._rng.choice(tuple(unreadable_entries.ITEMS.values()))
        self._deployment.put_raw_object("servers", name, item)
        self._sleep_fault_duration()
        self._deployment.remove_object("servers", name)

    def _cut_settings(self) -> None:
        gateway = self._random_gateway
        with settings_faults.cut_boot_file(gateway, self._rng):
            gateway.process.send_signal(signal.SIGHUP)
            self._sleep_fault_duration()
        gateway.process.send_signal(signal.SIGHUP)

    def _start_with_cut_file(self) -> None:
        gateway = self._random_gateway
        with self._record(gateway.name):
            gateway.process.stop()
            with settings_faults.cut_boot_file(gateway, self._rng):
                gateway.start()
                self._sleep_fault_duration()

    def _start_without_port(self) -> None:
        gateway = self._random_gateway
        port = self._rng.choice(tuple(gateway.ports.values()))
        with self._record(gateway.name):
            gateway.process.stop()
            with socket.create_server((gateway.host, port)):
                gateway.start()
                self._sleep_fault_duration()

    def _send_large_bodies(self) -> None:
        self.large_bodies.send_burst(self._random_gateway)

    def _pause(self, process: local_process.LocalProcess) -> None:
        process.send_signal(signal.SIGSTOP)
        self._sleep_fault_duration()
        process.send_signal(signal.SIGCONT)
