"""A gateway on an entry VM as a process, with its store behind a proxy."""

from collections.abc import Sequence
import pathlib

import httpx

from tools import entry_configuration
from tools import local_process
from tools import loopback_address
from tools import wait
from tools.faults import tcp_proxy

MEMORY_MB = 150
MAX_DESCRIPTORS = 4100

_CALL_TIMEOUT_S = 20.0
_BOOT_FILE_TEMPLATE = """
contracts = {contracts}
node_name = "{name}"
ip = "{host}"
port_range = [{peer}, {peer}]
zone = "a-1"
[zones]
a-1 = "a"
{more_zones}[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_descriptors}
[bounds]
contact_ms = 4000
config_ms = 4000
drain_ms = 2500
grace_s = 8
retry_ratio = 0.2
retry_slack = {retry_slack}
retry_window_s = 10
{more_bounds}[platform]
address = "127.0.0.1:{store}"
"""
_MORE_ZONES = 'b-1 = "b"\n'
_MORE_BOUNDS = f"""
evac_ms = {entry_configuration.EVACUATION_S * 1000:.0f}
cold_over = {entry_configuration.COLD_FACTOR}
cold_slack = {entry_configuration.COLD_SLACK}
"""


class EntryGateway:
    """A gateway and the TCP proxy between it and the store.

    Attributes:
        process: The current process.
        processes: All processes that were started, the current one included.
        proxy: Proxy through which the gateway reaches the store.
        boot_path: Path of the boot file.
        host: Address that the gateway listens on.
    """

    def __init__(
        self,
        name: str,
        folder: str,
        store_port: int,
        contracts: Sequence[str] = (),
        memory_mb: int = MEMORY_MB,
        max_descriptors: int = MAX_DESCRIPTORS,
        has_regions: bool = False,
    ) -> None:
        """Starts the gateway.

        Args:
            name: VM id of the gateway.
            folder: Folder of its boot file.
            store_port: Port of the store.
            contracts: Contracts that the boot file lists.
            memory_mb: Memory limit that the boot file states.
            max_descriptors: Descriptor limit that the boot file states.
            has_regions: Whether the boot file has a second region and the
                bounds of evacuations and cold endpoints.
        """
        self._contracts = contracts
        self._name = name
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        self._has_regions = has_regions
        self.boot_path = pathlib.Path(folder) / f"{name}.toml"
        self.host = loopback_address.host()
        self._front_port = loopback_address.next_port()
        self._ready_port = loopback_address.next_port()
        self._peer_port = loopback_address.next_port()
        self._metrics_port = loopback_address.next_port()
        self.proxy = tcp_proxy.TcpProxy()
        self.proxy.set_target(store_port)
        self.processes: list[local_process.LocalProcess] = []
        self.write_boot_file()
        self.start()

    def start(self) -> None:
        """Starts the process."""
        self.process = local_process.LocalProcess(
            "bronzeslip.platform",
            "--drain-notice-s=0.2",
            "--gateway-refresh-s=0.1",
            "--store-staleness-s=0",
            f"--metrics-port={self._metrics_port}",
            environment={"BRONZESLIP_BOOT": str(self.boot_path)},
        )
        self.processes.append(self.process)

    @property
    def caller_address(self) -> tuple[str, int]:
        """Address that callers connect to."""
        return self.host, self._front_port

    @property
    def name(self) -> str:
        """VM id of the gateway."""
        return self._name

    @property
    def ports(self) -> dict[str, int]:
        """Ports that the gateway listens on, by what they are for."""
        return {
            "callers": self._front_port,
            "readiness": self._ready_port,
            "peers": self._peer_port,
            "metrics": self._metrics_port,
        }

    def write_boot_file(self, retry_slack: int = 50) -> None:
        """Writes the boot file, which holds the settings of the gateway."""
        self.boot_path.write_text(
            _BOOT_FILE_TEMPLATE.format(
                contracts=list(self._contracts),
                name=self._name,
                host=self.host,
                front=self._front_port,
                ready=self._ready_port,
                peer=self._peer_port,
                store=self.proxy.port,
                retry_slack=retry_slack,
                memory_mb=self._memory_mb,
                max_descriptors=self._max_descriptors,
                more_zones=_MORE_ZONES if self._has_regions else "",
                more_bounds=_MORE_BOUNDS if self._has_regions else "",
            )
        )

    def url(self, path: str) -> str:
        """Returns the URL that callers use for a path."""
        return f"http://{self.host}:{self._front_port}{path}"

    def fetch_metrics(self) -> str:
        """Fetches the metrics page."""
        return httpx.get(
            f"http://{self.host}:{self._metrics_port}/metrics"
        ).text

    def readiness_status(self) -> int:
        """Returns the HTTP status of the readiness check, 0 if unreachable."""
        try:
            url = f"http://{self.host}:{self._ready_port}/ready"
            return httpx.get(url).status_code
        except httpx.TransportError:
            return 0

    def wait_ready(self) -> None:
        """Waits until the gateway reports that it is ready.

        Raises:
            RuntimeError: If the process exits first.
            TimeoutError: If the gateway is not ready in time.
        """

        def is_ready() -> bool:
            if self.process.exit_status is not None:
                output = "\n".join(self.process.lines)
                raise RuntimeError(
                    f"{self._name} exited before it was ready:\n{output}"
                )
            return self.readiness_status() == httpx.codes.OK

        wait.until(is_ready)

    def call(
        self,
        request_id: str,
        path: str = entry_configuration.CALLS_PATH,
        body: bytes = b"x",
        shared_parts: tuple[str, ...] = (),
    ) -> httpx.Response:
        """Sends a request and returns the response.

        Args:
            request_id: Id of the request.
            path: Path, which selects the route.
            body: Body.
            shared_parts: Parts that its prompt shares with others.
        """
        return httpx.post(
            self.url(path),
            headers=entry_configuration.headers(request_id, *shared_parts),
            content=body,
            timeout=_CALL_TIMEOUT_S,
        )

    def stop(self) -> None:
        """Stops the process and closes the proxy."""
        self.process.stop()
        self.proxy.close()
