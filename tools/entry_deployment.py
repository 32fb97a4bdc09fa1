"""Gateways on entry VMs as processes, before stand-ins of the platform."""

from collections.abc import Callable
import contextlib
import pathlib
import tempfile
import time
from typing import Any
from typing import TypeVar

import httpx
import msgspec

from tools import entry_configuration
from tools import local_process
from tools import own_address
from tools.faults import link

_WAIT_S = 20.0
_RAN = "ran "
_BOOT = """
node_name = "{name}"
zone = "a-1"
[zones]
a-1 = "a"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = {retry_slack}
retry_window_s = 10
[platform]
address = "127.0.0.1:{store}"
"""

ResultT = TypeVar("ResultT")


class EntryEndpoint:
    """An endpoint, the link to it, and what it has run in all its lives.

    Attributes:
        endpoint_id: Id under which it registers.
        process: Its process.
        way: Link that gateways reach it by, unless they reach it directly.
    """

    def __init__(
        self, endpoint_id: str, service: str, is_linked: bool = True
    ) -> None:
        self.endpoint_id = endpoint_id
        self.way = link.Link()
        self._service = service
        self._is_linked = is_linked
        self._starts = 0
        self._earlier: list[local_process.LocalProcess] = []
        self.process = self._new_life()

    @property
    def runs(self) -> list[str]:
        """Ids of the requests run, one for each run."""
        return [
            line.removeprefix(_RAN)
            for process in (*self._earlier, self.process)
            for line in tuple(process.lines)
            if line.startswith(_RAN)
        ]

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store."""
        port = self.way.port if self._is_linked else self.process.http_port()
        return entry_configuration.entry(
            self._service, port, state, self._starts
        )

    def restart(self) -> None:
        """Kills it and starts it again; a new life knows nothing."""
        self.process.kill()
        self.process.stop()
        self._earlier.append(self.process)
        self.process = self._new_life()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Waits until it listens, and leads its link there."""
        self.way.set_target(self.process.http_port())

    def hold(self) -> None:
        """Has its answers wait."""
        httpx.put(f"{self.process.http_url()}/standin/hold").raise_for_status()

    def release(self) -> None:
        """Lets its answers go."""
        url = f"{self.process.http_url()}/standin/release"
        httpx.put(url).raise_for_status()

    def stop(self) -> None:
        """Ends it."""
        self.process.stop()
        self.way.close()

    def _new_life(self) -> local_process.LocalProcess:
        self._starts += 1
        return local_process.LocalProcess(
            "standins.model_endpoint", f"--endpoint-id={self.endpoint_id}"
        )


class EntryGateway:
    """A gateway and the link between it and the store.

    Attributes:
        process: Its process.
        way: Link that it reaches the store by.
    """

    def __init__(self, name: str, folder: str, store_port: int) -> None:
        self._name = name
        self._boot_path = pathlib.Path(folder) / f"{name}.toml"
        self._host = own_address.host()
        self._front = own_address.next_port()
        self._ready = own_address.next_port()
        self._metrics = own_address.next_port()
        self.way = link.Link()
        self.way.set_target(store_port)
        self.write_boot()
        self.start()

    def start(self) -> None:
        """Starts the process."""
        self.process = local_process.LocalProcess(
            "bronzeslip.platform",
            "--drain-notice-s=0.2",
            f"--metrics-port={self._metrics}",
            environment={"BRONZESLIP_BOOT": str(self._boot_path)},
        )

    def write_boot(self, retry_slack: int = 50) -> None:
        """Writes its settings file."""
        self._boot_path.write_text(
            _BOOT.format(
                name=self._name,
                host=self._host,
                front=self._front,
                ready=self._ready,
                store=self.way.port,
                retry_slack=retry_slack,
            )
        )

    def url(self, path: str) -> str:
        """Returns the URL of a path for callers."""
        return f"http://{self._host}:{self._front}{path}"

    def metrics(self) -> str:
        """Returns the page of its metrics."""
        return httpx.get(f"http://{self._host}:{self._metrics}/metrics").text

    def readiness(self) -> int:
        """Returns the status of readiness, 0 without an answer."""
        try:
            url = f"http://{self._host}:{self._ready}/ready"
            return httpx.get(url).status_code
        except httpx.TransportError:
            return 0

    def wait_ready(self) -> None:
        """Waits until it welcomes callers.

        Raises:
            RuntimeError: If it ends instead.
        """

        def is_ready() -> bool:
            if self.process.exit_status is not None:
                printed = "\n".join(self.process.lines)
                raise RuntimeError(f"{self._name} ended:\n{printed}")
            return self.readiness() == httpx.codes.OK

        wait(is_ready)

    def call(
        self,
        request_id: str,
        path: str = entry_configuration.CALLS,
        body: bytes = b"x",
    ) -> httpx.Response:
        """Sends a request and returns the answer."""
        return httpx.post(
            self.url(path),
            headers=entry_configuration.headers(request_id),
            content=body,
            timeout=_WAIT_S,
        )

    def stop(self) -> None:
        """Ends it."""
        self.process.stop()
        self.way.close()


class EntryDeployment:
    """A store, endpoints for calls, engines, and gateways.

    Attributes:
        store: Process of the store.
        desks: Endpoints for calls.
        engines: Model engines.
        gateways: Gateways.
    """

    def __init__(
        self,
        gateway_count: int = 1,
        endpoint_count: int = 1,
        has_endpoint_links: bool = True,
    ) -> None:
        """Starts everything and waits until all gateways are ready.

        Args:
            gateway_count: Number of gateways.
            endpoint_count: Number of endpoints of each service.
            has_endpoint_links: Whether endpoints are reached by links; without
                them, connections to one that has ended are refused.

        Raises:
            RuntimeError: If a process ends instead of getting ready.
            TimeoutError: If one does not get ready in time.
        """
        with contextlib.ExitStack() as started:
            self.desks = _endpoints(
                started, "desk", endpoint_count, has_endpoint_links
            )
            self.engines = _endpoints(
                started, "engine", endpoint_count, has_endpoint_links
            )
            self._start(started, gateway_count)
            self._started = started.pop_all()

    @property
    def endpoints(self) -> list[EntryEndpoint]:
        """All endpoints."""
        return self.desks + self.engines

    def register(self, endpoint: EntryEndpoint, state: str = "ready") -> None:
        """Writes the entry of an endpoint."""
        self.write("servers", endpoint.endpoint_id, endpoint.entry(state))

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object to the store, new or known."""
        body = {"metadata": {"name": name}, "spec": spec}
        content = msgspec.json.encode(body)
        url = f"{self.store.http_url()}/objects/{kind}"
        answer = httpx.put(f"{url}/{name}", content=content)
        if answer.status_code == httpx.codes.NOT_FOUND:
            answer = httpx.post(url, content=content)
        answer.raise_for_status()

    def names(self, kind: str) -> list[str]:
        """Lists the names of the objects of a kind."""
        listed = httpx.get(f"{self.store.http_url()}/objects/{kind}").json()
        return [item["metadata"]["name"] for item in listed["items"]]

    def trouble(self, name: str) -> None:
        """Has the store be `busy`, `silent`, or in `none` of these."""
        url = f"{self.store.http_url()}/standin/trouble/{name}"
        httpx.post(url).raise_for_status()

    def forget_history(self) -> None:
        """Has the store forget its changes."""
        url = f"{self.store.http_url()}/standin/forget"
        httpx.post(url).raise_for_status()

    def stop(self) -> None:
        """Ends everything."""
        self._started.close()

    def _start(
        self,
        started: contextlib.ExitStack,
        gateway_count: int,
    ) -> None:
        """Starts the rest; `started` ends each, also if a later one fails."""
        folder = started.enter_context(tempfile.TemporaryDirectory())
        self.store = local_process.LocalProcess("standins.object_store")
        started.callback(self.store.stop)
        self.write("config", "main", entry_configuration.configuration(1))
        for endpoint in self.endpoints:
            endpoint.wait_ready()
            self.register(endpoint)
        store_port = self.store.http_port()
        self.gateways = []
        for number in range(gateway_count):
            gateway = EntryGateway(f"front-{number}", folder, store_port)
            started.callback(gateway.stop)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.wait_ready()


def wait(condition: Callable[[], ResultT]) -> ResultT:
    """Asks until a condition holds and returns what it returned."""
    end_s = time.monotonic() + _WAIT_S
    while not (result := condition()):
        if time.monotonic() > end_s:
            raise TimeoutError("the condition did not come about")
        time.sleep(0.02)
    return result


def _endpoints(
    started: contextlib.ExitStack, service: str, count: int, is_linked: bool
) -> list[EntryEndpoint]:
    """Starts the endpoints of a service, named after it."""
    endpoints = []
    for number in range(count):
        endpoint = EntryEndpoint(f"{service}-{number}", service, is_linked)
        started.callback(endpoint.stop)
        endpoints.append(endpoint)
    return endpoints
