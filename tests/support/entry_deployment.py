"""A gateway on an entry VM as a process, before stand-ins of the platform."""

import pathlib
import socket
import tempfile
import time

import httpx

from tools import local_process

KEY = "key-of-w"
HOST = "h.example"
CALLS = "/calls/"
STREAMS = "/streams/"

_WAIT_S = 20.0
_BOOT = """
node_name = "front-1"
zone = "a-1"
[zones]
a-1 = "a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = {retry_slack}
retry_window_s = 10
[platform]
address = "127.0.0.1:{store}"
"""


class EntryDeployment:
    """Starts a store, an endpoint for calls, an engine, and a gateway.

    Attributes:
        store: Process of the store.
        desk: Process of the endpoint for calls.
        engine: Process of the engine.
        gateway: Process of the gateway.
    """

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self._boot_path = pathlib.Path(self._folder.name) / "settings.toml"
        self._ports = {name: _free_port() for name in ("front", "ready")}
        self.metrics_port = _free_port()
        self.store = local_process.LocalProcess("standins.object_store")
        self.desk = _endpoint("desk-1")
        self.engine = _endpoint("engine-1")
        self._ports["store"] = self.store.http_port()
        self.write_boot()
        self.create("config", "main", configuration(1))
        for name, process in (("desk", self.desk), ("engine", self.engine)):
            self.create("servers", f"{name}-1", _entry(name, process))
        self.gateway = self.start_gateway()
        self.wait(lambda: self.readiness() == httpx.codes.OK)

    def start_gateway(self):
        return local_process.LocalProcess(
            "bronzeslip.platform",
            "--drain-notice-s=0.2",
            f"--metrics-port={self.metrics_port}",
            environment={"BRONZESLIP_BOOT": str(self._boot_path)},
        )

    def write_boot(self, retry_slack=50):
        self._boot_path.write_text(
            _BOOT.format(retry_slack=retry_slack, **self._ports)
        )

    def stop(self):
        for process in (self.gateway, self.desk, self.engine, self.store):
            process.stop()
        self._folder.cleanup()

    def create(self, kind, name, spec):
        """Writes a new object to the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        url = f"{self.store.http_url()}/objects/{kind}"
        httpx.post(url, json=body).raise_for_status()

    def replace(self, kind, name, spec):
        """Writes a known object to the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        url = f"{self.store.http_url()}/objects/{kind}/{name}"
        httpx.put(url, json=body).raise_for_status()

    def names(self, kind):
        """Lists the names of the objects of a kind."""
        listed = httpx.get(f"{self.store.http_url()}/objects/{kind}").json()
        return [item["metadata"]["name"] for item in listed["items"]]

    def trouble(self, name):
        """Has the store be in trouble, or none of it."""
        url = f"{self.store.http_url()}/standin/trouble/{name}"
        httpx.post(url).raise_for_status()

    def readiness(self):
        """Returns the status of readiness, 0 without an answer."""
        try:
            url = f"http://127.0.0.1:{self._ports['ready']}/ready"
            return httpx.get(url).status_code
        except httpx.TransportError:
            return 0

    def metrics(self):
        """Returns the page of metrics."""
        return httpx.get(f"http://127.0.0.1:{self.metrics_port}/metrics").text

    def headers(self, request_id):
        return {
            "Host": HOST,
            "Bronzeslip-Attempt-Id": request_id,
            "Bronzeslip-Key": KEY,
            "Bronzeslip-Deadline-Ms": "15000",
        }

    def url(self, path):
        return f"http://127.0.0.1:{self._ports['front']}{path}"

    def call(self, request_id, path=CALLS, body=b"x"):
        """Sends a request to the gateway."""
        return httpx.post(
            self.url(path),
            headers=self.headers(request_id),
            content=body,
            timeout=_WAIT_S,
        )

    def ran(self, process):
        """Lists the requests that an endpoint has run."""
        return httpx.get(f"{process.http_url()}/standin/ran").json()

    def hold(self, process):
        httpx.put(f"{process.http_url()}/standin/hold").raise_for_status()

    def release(self, process):
        httpx.put(f"{process.http_url()}/standin/release").raise_for_status()

    def wait(self, condition):
        """Asks until a condition holds and returns what it returned."""
        end_s = time.monotonic() + _WAIT_S
        while not (result := condition()):
            if time.monotonic() > end_s:
                raise AssertionError("the condition did not come about")
            time.sleep(0.02)
        return result


def configuration(version, *more_routes):
    """Returns a configuration with a route for calls and one for streams."""
    routes = [
        _route("calls", CALLS, "non_idempotent", "desk"),
        _route("streams", STREAMS, "streaming", "engine"),
        *more_routes,
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 100},
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 24, "kv_capacity": 30_000},
            },
        ],
        "limits": {
            "max_header_bytes": 8_000,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "w", "api_keys": [KEY]}],
    }


def new_route(name):
    """Returns one more route for calls, by its name as its path."""
    return _route(name, f"/{name}/", "non_idempotent", "desk")


def _route(name, path_prefix, kind, service):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": 15_000,
        "goal_ms": 1_000,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
    }


def _endpoint(endpoint_id):
    return local_process.LocalProcess(
        "standins.model_endpoint", f"--endpoint-id={endpoint_id}"
    )


def _entry(service, process):
    return {
        "service": service,
        "address": f"127.0.0.1:{process.http_port()}",
        "zone": "a-1",
        "version": "v1",
        "slots": 24,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
    }


def _free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]
