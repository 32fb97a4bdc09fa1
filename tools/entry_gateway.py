"""A gateway on an entry VM as a process, its store behind a link."""

import pathlib

import httpx

from tools import entry_configuration
from tools import local_process
from tools import loopback_address
from tools import wait
from tools.faults import tcp_proxy

_CALL_TIMEOUT_S = 20.0
_BOOT_FILE_TEMPLATE = """
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


class EntryGateway:
    """A gateway and the link between it and the store.

    Attributes:
        process: Its process.
        proxy: Proxy that it reaches the store by.
    """

    def __init__(self, name: str, folder: str, store_port: int) -> None:
        self._name = name
        self._boot_path = pathlib.Path(folder) / f"{name}.toml"
        self._host = loopback_address.host()
        self._front_port = loopback_address.next_port()
        self._ready_port = loopback_address.next_port()
        self._metrics_port = loopback_address.next_port()
        self.proxy = tcp_proxy.TcpProxy()
        self.proxy.set_target(store_port)
        self.write_boot_file()
        self.start()

    def start(self) -> None:
        """Starts the process."""
        self.process = local_process.LocalProcess(
            "bronzeslip.platform",
            "--drain-notice-s=0.2",
            f"--metrics-port={self._metrics_port}",
            environment={"BRONZESLIP_BOOT": str(self._boot_path)},
        )

    def write_boot_file(self, retry_slack: int = 50) -> None:
        """Writes its settings file."""
        self._boot_path.write_text(
            _BOOT_FILE_TEMPLATE.format(
                name=self._name,
                host=self._host,
                front=self._front_port,
                ready=self._ready_port,
                store=self.proxy.port,
                retry_slack=retry_slack,
            )
        )

    def url(self, path: str) -> str:
        """Returns the URL of a path for callers."""
        return f"http://{self._host}:{self._front_port}{path}"

    def fetch_metrics(self) -> str:
        """Returns the page of its metrics."""
        return httpx.get(
            f"http://{self._host}:{self._metrics_port}/metrics"
        ).text

    def readiness_status(self) -> int:
        """Returns the status of readiness, 0 without an answer."""
        try:
            url = f"http://{self._host}:{self._ready_port}/ready"
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
                output = "\n".join(self.process.lines)
                raise RuntimeError(f"{self._name} ended:\n{output}")
            return self.readiness_status() == httpx.codes.OK

        wait.until(is_ready)

    def call(
        self,
        request_id: str,
        path: str = entry_configuration.CALLS_PATH,
        body: bytes = b"x",
    ) -> httpx.Response:
        """Sends a request and returns the answer."""
        return httpx.post(
            self.url(path),
            headers=entry_configuration.headers(request_id),
            content=body,
            timeout=_CALL_TIMEOUT_S,
        )

    def stop(self) -> None:
        """Ends it."""
        self.process.stop()
        self.proxy.close()
