"""Gateways on entry VMs as processes, before stand-ins of the platform."""

import contextlib
import tempfile
from typing import Any

import httpx
import msgspec

from tools import entry_configuration
from tools import entry_endpoint
from tools import entry_gateway
from tools import local_process


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
    def endpoints(self) -> list[entry_endpoint.EntryEndpoint]:
        """All endpoints."""
        return self.desks + self.engines

    def register(
        self, endpoint: entry_endpoint.EntryEndpoint, state: str = "ready"
    ) -> None:
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
            gateway = entry_gateway.EntryGateway(
                f"front-{number}", folder, store_port
            )
            started.callback(gateway.stop)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.wait_ready()


def _endpoints(
    started: contextlib.ExitStack, service: str, count: int, is_linked: bool
) -> list[entry_endpoint.EntryEndpoint]:
    """Starts the endpoints of a service, named after it."""
    endpoints = []
    for number in range(count):
        endpoint = entry_endpoint.EntryEndpoint(
            f"{service}-{number}", service, is_linked
        )
        started.callback(endpoint.stop)
        endpoints.append(endpoint)
    return endpoints
