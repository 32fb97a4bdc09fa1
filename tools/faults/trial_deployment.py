"""A deployment into which trials inject faults."""

import contextlib
import json
import signal
import time
from typing import Any

import httpx

from tools import local_deployment
from tools import local_process
from tools import shapes
from tools.faults import tcp_proxy

POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 30.0

SHAPE = shapes.DeploymentShape(
    name="trial",
    regions=("north", "south"),
    model="trial-model",
    engine_pool="engines",
    engine_count=3,
    generation_service="drafts",
    plain_pool="ledger",
    plain_count=2,
    plain_service="awards",
    workspaces=("clerks", "smiths"),
)

_GATEWAY_FLAGS = ("--drain-notice-s", "0.1")
_SIDECAR_FLAGS = ("--order-check-interval-s", "0.2", "--order-lease-ttl-s", "2")


class TrialDeployment(local_deployment.LocalDeployment):
    """Two gateways, three engines, two plain endpoints and their proxies."""

    def __init__(self) -> None:
        super().__init__(
            SHAPE,
            gateway_flags=_GATEWAY_FLAGS,
            sidecar_flags=_SIDECAR_FLAGS,
        )
        self.proxies: list[tcp_proxy.TcpProxy] = []

    def start_sidecar(
        self,
        name: str,
        pool: str,
        endpoint: local_process.LocalProcess,
        index: int,
    ) -> local_process.LocalProcess:
        """Starts one sidecar behind its own proxy."""
        proxy = tcp_proxy.TcpProxy()
        self.proxies.append(proxy)
        flags = self._sidecar_flags
        self._sidecar_flags = (
            *flags,
            "--advertise-peer-port",
            str(proxy.port),
        )
        try:
            started = super().start_sidecar(name, pool, endpoint, index)
        finally:
            self._sidecar_flags = flags
        proxy.set_target(started.peer_port())
        return started

    def stop(self) -> None:
        """Stops every process and closes every proxy."""
        super().stop()
        for proxy in self.proxies:
            proxy.close()

    @property
    def endpoints(self) -> list[local_process.LocalProcess]:
        """Engines and plain endpoints, in the order of the sidecars."""
        return [*self.engines, *self.plain_endpoints]

    def repair(self) -> None:
        """Clears every fault and restarts the processes that have exited."""
        self._clear_faults()
        self._restart(self.engines, "--port")
        self._restart(self.plain_endpoints, "--port")
        self._restart_sidecars()
        self._restart(self.gateways, "--http-port")
        for endpoint in self.engines:
            post(endpoint, "/standin/modes", {})
        for endpoint in self.plain_endpoints:
            post(endpoint, "/standin/modes", {})
        self.wait_ready()

    def wait_for_generation(self, known_generations: set[str]) -> int:
        """Waits until an engine starts a generation that is not yet known.

        Returns:
            Index of the engine that started it.
        """

        def find() -> int | None:
            for index, engine in enumerate(self.engines):
                if set(get(engine, "/standin/started")) - known_generations:
                    return index
            return None

        return wait_for(find, "no engine started the generation")

    def wait_for_call(self, body: str) -> int:
        """Waits until a plain endpoint runs a body.

        Returns:
            Index of the endpoint among all endpoints.
        """

        def find() -> int | None:
            for index, endpoint in enumerate(self.plain_endpoints):
                if body in get(endpoint, "/standin/runs"):
                    return len(self.engines) + index
            return None

        return wait_for(find, "no plain endpoint ran the call")

    def started_generations(self) -> set[str]:
        """Lists the generations started by the engines that are reachable."""
        started: set[str] = set()
        for engine in self.engines:
            with contextlib.suppress(httpx.HTTPError):
                started |= set(get(engine, "/standin/started"))
        return started

    def set_engine_modes(self, modes: dict[str, Any]) -> None:
        """Sets the stand-in modes of every engine."""
        for engine in self.engines:
            post(engine, "/standin/modes", modes)

    def _clear_faults(self) -> None:
        post(self.platform, "/standin/faults", {})
        post(self.platform, "/standin/hold", None)
        for proxy in self.proxies:
            proxy.resume()
        for process in (*self.endpoints, *self.sidecars, *self.gateways):
            process.send_signal(signal.SIGCONT)

    def _restart(
        self, group: list[local_process.LocalProcess], flag: str
    ) -> None:
        for index, process in enumerate(group):
            if process.exit_status is not None:
                port = str(process.http_port())
                group[index] = process.start_again(flag, port)
                group[index].http_port()

    def _restart_sidecars(self) -> None:
        for index, process in enumerate(self.sidecars):
            if process.exit_status is not None:
                self.sidecars[index] = process.start_again()
                port = self.sidecars[index].peer_port()
                self.proxies[index].set_target(port)


def wait_for(find: Any, failure: str) -> Any:
    """Polls a function until it returns a value other than None.

    Raises:
        RuntimeError: With the text of `failure`, if that takes too long.
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        result = find()
        if result is not None:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(failure)


def post(process: local_process.LocalProcess, path: str, body: Any) -> None:
    """Posts JSON to a stand-in."""
    response = httpx.post(
        f"{process.http_url()}{path}", content=json.dumps(body).encode()
    )
    response.raise_for_status()


def get(process: local_process.LocalProcess, path: str) -> Any:
    """Reads JSON from a stand-in."""
    response = httpx.get(f"{process.http_url()}{path}")
    response.raise_for_status()
    return response.json()
