"""Gateways on entry VMs as processes, with stand-ins for the platform."""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import tempfile
import time
from typing import Any

import httpx
import msgspec

from tools import entry_configuration
from tools import entry_endpoint
from tools import entry_gateway
from tools import local_process
from tools import stuttering_endpoint
from tools import wait

# Time in which a new gateway accumulates its first retries.
_RETRY_FILL_S = 1.5


class EntryDeployment:
    """An object store, call endpoints, engines and gateways as processes.

    Attributes:
        store: Process of the store.
        call_endpoints: Endpoints that serve calls.
        engines: Model engines.
        stuttering_endpoints: Endpoints that serve calls and send more than one
            response to some of them.
        gateways: Gateways.
    """

    def __init__(
        self,
        gateway_count: int = 1,
        endpoint_count: int = 1,
        has_endpoint_proxies: bool = True,
        has_unframed_endpoints: bool = False,
        contracts: Sequence[str] = (),
        memory_mb: int = entry_gateway.MEMORY_MB,
        max_descriptors: int = entry_gateway.MAX_DESCRIPTORS,
        has_regions: bool = False,
        stuttering_seeds: Sequence[str] = (),
    ) -> None:
        """Starts all processes and waits until all gateways are ready.

        Args:
            gateway_count: Number of gateways.
            endpoint_count: Number of endpoints of each service.
            has_endpoint_proxies: Whether gateways reach endpoints through TCP
                proxies; without them, connections to an endpoint that has
                exited are refused.
            has_unframed_endpoints: Whether the responses of every second
                endpoint, from the first on, end with their connection. These
                have no proxy, as it would hide that they were killed.
            contracts: Contracts in the boot files of the gateways.
            memory_mb: Memory limit of each gateway.
            max_descriptors: Descriptor limit of each gateway.
            has_regions: Whether every second endpoint is in another region,
                with routes restricted to each region, evacuations and limits
                of cold endpoints.
            stuttering_seeds: Seeds of stuttering endpoints, one for each.

        Raises:
            RuntimeError: If a process exits before it is ready.
            TimeoutError: If a process is not ready in time.
        """
        self._written: dict[tuple[str, str], Any] = {}
        self._removed: set[tuple[str, str]] = set()
        self._has_regions = has_regions
        with contextlib.ExitStack() as exit_stack:
            self.call_endpoints, self.engines = (
                _endpoints(
                    exit_stack,
                    service,
                    endpoint_count,
                    has_endpoint_proxies,
                    has_unframed_endpoints,
                    has_regions,
                )
                for service in ("desk", "engine")
            )
            self.stuttering_endpoints = _stuttering_endpoints(
                exit_stack, stuttering_seeds, has_regions
            )
            self._start(
                exit_stack,
                gateway_count,
                contracts,
                memory_mb,
                max_descriptors,
            )
            self._exit_stack = exit_stack.pop_all()

    @property
    def endpoints(self) -> list[entry_endpoint.EntryEndpoint]:
        """All endpoints that send one response to a request."""
        return self.call_endpoints + self.engines

    @property
    def all_endpoints(self) -> list[entry_endpoint.EntryEndpoint]:
        """All endpoints, stuttering ones included."""
        return [*self.endpoints, *self.stuttering_endpoints]

    def register(
        self, endpoint: entry_endpoint.EntryEndpoint, state: str = "ready"
    ) -> None:
        """Writes the discovery entry of an endpoint to the store."""
        self.put_object(
            "servers", endpoint.endpoint_id, endpoint.discovery_entry(state)
        )

    def configuration(self, version: int, *more_routes: Any) -> dict[str, Any]:
        """Returns the configuration of this deployment."""
        if self._has_regions:
            return entry_configuration.regional_configuration(
                version, *more_routes
            )
        return entry_configuration.configuration(version, *more_routes)

    def write_all_again(self) -> None:
        """Writes and removes what was written and removed last."""
        for kind, name in tuple(self._removed):
            self.remove_object(kind, name)
        for (kind, name), spec in tuple(self._written.items()):
            # Another series of faults may have removed it meanwhile.
            if (kind, name) in self._written:
                self.put_object(kind, name, spec)

    def put_object(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object, again while the store is away."""
        self._written[kind, name] = spec
        self._removed.discard((kind, name))
        body = {"metadata": {"name": name}, "spec": spec}
        content = msgspec.json.encode(body)
        self._repeat(
            lambda: self._write(kind, name, content)
        ).raise_for_status()

    def _repeat(self, write: Callable[[], httpx.Response]) -> httpx.Response:
        """Writes to the store, again while the store is away."""

        def send() -> httpx.Response | None:
            try:
                response = write()
            except httpx.TransportError:
                return None
            if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                return None
            return response

        return wait.until(send)

    def _write(self, kind: str, name: str, content: bytes) -> httpx.Response:
        url = f"{self.store.http_url()}/objects/{kind}"
        response = httpx.put(f"{url}/{name}", content=content)
        if response.status_code == httpx.codes.NOT_FOUND:
            response = httpx.post(url, content=content)
        return response

    def put_raw_object(self, kind: str, name: str, content: bytes) -> None:
        """Writes an object that the store sends as these bytes."""
        url = f"{self.store.http_url()}/standin/raw/{kind}/{name}"
        httpx.put(url, content=content).raise_for_status()

    def remove_object(self, kind: str, name: str) -> None:
        """Removes an object if it exists, again while the store is away."""
        self._written.pop((kind, name), None)
        self._removed.add((kind, name))
        url = f"{self.store.http_url()}/objects/{kind}/{name}"
        response = self._repeat(lambda: httpx.delete(url))
        if response.status_code != httpx.codes.NOT_FOUND:
            response.raise_for_status()

    def object_names(self, kind: str) -> list[str]:
        """Lists the names of all objects of a kind."""
        object_list = httpx.get(
            f"{self.store.http_url()}/objects/{kind}"
        ).json()
        return [item["metadata"]["name"] for item in object_list["items"]]

    def set_store_fault(self, fault: str) -> None:
        """Sets the fault of the store: `busy`, `silent` or `none`."""
        url = f"{self.store.http_url()}/standin/trouble/{fault}"
        httpx.post(url).raise_for_status()

    def restore_store(self, age_s: float) -> None:
        """Makes the store go back to its state of some time ago."""
        url = f"{self.store.http_url()}/standin/restore/{round(age_s * 1000)}"
        httpx.post(url).raise_for_status()

    def lose_watches(self, kind: str) -> None:
        """Makes the store never answer the watches of a kind that wait now."""
        url = f"{self.store.http_url()}/standin/lose-watches/{kind}"
        httpx.post(url).raise_for_status()

    def discard_history(self) -> None:
        """Makes the store discard its change history."""
        url = f"{self.store.http_url()}/standin/forget"
        httpx.post(url).raise_for_status()

    def stop(self) -> None:
        """Stops all processes and proxies."""
        self._exit_stack.close()

    def _start(
        self,
        exit_stack: contextlib.ExitStack,
        gateway_count: int,
        contracts: Sequence[str],
        memory_mb: int,
        max_descriptors: int,
    ) -> None:
        """Starts the store and the gateways and registers the endpoints.

        Each stop method goes onto `exit_stack` at once, so that everything
        started is stopped even if a later start fails.
        """
        folder = exit_stack.enter_context(tempfile.TemporaryDirectory())
        self.store = local_process.LocalProcess("standins.object_store")
        exit_stack.callback(self.store.stop)
        self.put_object("config", "main", self.configuration(1))
        for endpoint in self.all_endpoints:
            endpoint.wait_ready()
            self.register(endpoint)
        store_port = self.store.http_port()
        self.gateways = []
        for number in range(gateway_count):
            gateway = entry_gateway.EntryGateway(
                f"front-{number}",
                folder,
                store_port,
                contracts,
                memory_mb,
                max_descriptors,
                self._has_regions,
            )
            exit_stack.callback(gateway.stop)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.wait_ready()
        for gateway in self.gateways:
            gateway.process.wait_for_line('"gateways.counted"')
        time.sleep(_RETRY_FILL_S)


def _endpoints(
    exit_stack: contextlib.ExitStack,
    service: str,
    count: int,
    is_proxied: bool,
    has_unframed: bool,
    has_regions: bool,
) -> list[entry_endpoint.EntryEndpoint]:
    """Starts the endpoints of a service; their ids begin with its name."""
    endpoints = []
    for number in range(count):
        is_unframed = has_unframed and number % 2 == 0
        endpoint = entry_endpoint.EntryEndpoint(
            f"{service}-{number}",
            service,
            is_proxied and not is_unframed,
            is_unframed,
            _zone(number, has_regions),
        )
        exit_stack.callback(endpoint.stop)
        endpoints.append(endpoint)
    return endpoints


def _stuttering_endpoints(
    exit_stack: contextlib.ExitStack, seeds: Sequence[str], has_regions: bool
) -> list[stuttering_endpoint.StutteringEndpoint]:
    """Starts the stuttering endpoints of the service that serves calls."""
    endpoints = []
    for number, seed in enumerate(seeds):
        endpoint = stuttering_endpoint.StutteringEndpoint(
            f"stuttering-{number}", "desk", seed, _zone(number, has_regions)
        )
        exit_stack.callback(endpoint.stop)
        endpoints.append(endpoint)
    return endpoints


def _zone(number: int, has_regions: bool) -> str:
    return "b-1" if has_regions and number % 2 else "a-1"
