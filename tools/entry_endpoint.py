"""An endpoint as a process, behind a TCP proxy."""

import threading
from typing import Any

import httpx

from tools import entry_configuration
from tools import local_process
from tools.faults import tcp_proxy

_RUN_LINE_PREFIX = "ran "


class EntryEndpoint:
    """An endpoint, its TCP proxy, and what it has run across restarts.

    Attributes:
        endpoint_id: Id under which the endpoint registers.
        process: The current process.
        proxy: Proxy that gateways connect to, unless they connect directly.
        zone: Failure domain of the endpoint.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        is_proxied: bool = True,
        is_unframed: bool = False,
        zone: str = "a-1",
    ) -> None:
        """Starts the process.

        Args:
            endpoint_id: Id under which the endpoint registers.
            service: Service of the endpoint.
            is_proxied: Whether gateways connect through the proxy.
            is_unframed: Whether responses end with their connection.
            zone: Failure domain of the endpoint.
        """
        self.endpoint_id = endpoint_id
        self.zone = zone
        self.proxy = tcp_proxy.TcpProxy()
        self._service = service
        self._is_proxied = is_proxied
        self._flags = ["--unframed"] if is_unframed else []
        self._start_count = 0
        self._restart_lock = threading.Lock()
        self._earlier_processes: list[local_process.LocalProcess] = []
        self.process = self._start_process()

    @property
    def executed_request_ids(self) -> list[str]:
        """Ids of the requests that ran, one for each run."""
        return [
            line.removeprefix(_RUN_LINE_PREFIX)
            for process in (*self._earlier_processes, self.process)
            for line in tuple(process.lines)
            if line.startswith(_RUN_LINE_PREFIX)
        ]

    @property
    def service(self) -> str:
        """Service of the endpoint."""
        return self._service

    @property
    def incarnation_lines(self) -> list[list[str]]:
        """Lines that each process of the endpoint has printed."""
        return [
            list(process.lines)
            for process in (*self._earlier_processes, self.process)
        ]

    def discovery_entry(
        self, state: str = "ready", cold_left_s: float = 0.0
    ) -> dict[str, Any]:
        """Returns the discovery entry of the endpoint."""
        port = self.proxy.port if self._is_proxied else self.process.http_port()
        return entry_configuration.discovery_entry(
            self._service,
            port,
            state,
            self._start_count,
            self.zone,
            cold_left_s,
        )

    def restart(self) -> None:
        """Kills the process and starts a new one without its state."""
        with self._restart_lock:
            self._restart()

    def restart_if_exited(self) -> bool:
        """Starts a new process if the current one has ended by itself."""
        with self._restart_lock:
            if self.process.exit_status is None:
                return False
            self._restart()
            return True

    def wait_ready(self) -> None:
        """Waits until the process listens and directs the proxy to it."""
        self.proxy.set_target(self.process.http_port())

    def hold(self) -> None:
        """Makes the endpoint hold its responses."""
        httpx.put(f"{self.process.http_url()}/standin/hold").raise_for_status()

    def leave(self) -> None:
        """Makes the endpoint say in all its responses that it leaves."""
        httpx.put(f"{self.process.http_url()}/standin/leave").raise_for_status()

    def pause(self, duration_s: float) -> None:
        """Makes the endpoint refuse requests and ask for a pause."""
        url = f"{self.process.http_url()}/standin/pause/{duration_s * 1000:.0f}"
        httpx.put(url).raise_for_status()

    def state_limit(self, value: str) -> None:
        """Makes the endpoint state a request limit in all its responses.

        Args:
            value: Requests per second, or text that is no number.
        """
        url = f"{self.process.http_url()}/standin/limit/{value}"
        httpx.put(url).raise_for_status()

    def end_limit(self) -> None:
        """Makes the endpoint state no request limit any more."""
        url = f"{self.process.http_url()}/standin/no-limit"
        httpx.put(url).raise_for_status()

    def state_load(self, mode: str) -> None:
        """Selects load headers: `steady`, `noisy`, `lying` or `none`."""
        url = f"{self.process.http_url()}/standin/load/{mode}"
        httpx.put(url).raise_for_status()

    def release(self) -> None:
        """Lets the endpoint send its held responses."""
        url = f"{self.process.http_url()}/standin/release"
        httpx.put(url).raise_for_status()

    def stop(self) -> None:
        """Stops the process and closes the proxy."""
        self.process.stop()
        self.proxy.close()

    def _restart(self) -> None:
        self.process.kill()
        self.process.stop()
        self._earlier_processes.append(self.process)
        self.process = self._start_process()
        self.wait_ready()

    def _start_process(self) -> local_process.LocalProcess:
        self._start_count += 1
        return local_process.LocalProcess(*self._module_and_flags())

    def _module_and_flags(self) -> list[str]:
        return [
            "standins.model_endpoint",
            f"--endpoint-id={self.endpoint_id}",
            *self._flags,
        ]
