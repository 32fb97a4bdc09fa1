"""A complete deployment as processes on loopback."""

import time

import httpx

from bronzeslip import ids
from tools import declarations
from tools import local_process
from tools import shapes

PEER_KEY = "trial-peer-key"
_READY_TIMEOUT_S = 20.0


class LocalDeployment:
    """Platform stand-in, endpoints, sidecars and gateways of one user."""

    def __init__(
        self,
        shape: shapes.DeploymentShape,
        gateway_count: int = 2,
        engine_flags: tuple[str, ...] = (),
        sidecar_flags: tuple[str, ...] = (),
        gateway_flags: tuple[str, ...] = (),
    ) -> None:
        """Creates a deployment without starting it.

        Args:
            shape: Deployment to run.
            gateway_count: Number of gateways.
            engine_flags: Additional flags of each engine stand-in.
            sidecar_flags: Additional flags of each sidecar.
            gateway_flags: Additional flags of each gateway.
        """
        self.shape = shape
        self._gateway_count = gateway_count
        self._engine_flags = engine_flags
        self._sidecar_flags = sidecar_flags
        self._gateway_flags = gateway_flags
        self.platform: local_process.LocalProcess | None = None
        self.engines: list[local_process.LocalProcess] = []
        self.plain_endpoints: list[local_process.LocalProcess] = []
        self.sidecars: list[local_process.LocalProcess] = []
        self.gateways: list[local_process.LocalProcess] = []

    def start(self) -> None:
        """Starts every process and submits the configuration."""
        self.platform = local_process.LocalProcess("standins.platform")
        self._start_endpoints()
        self._start_sidecars()
        for index in range(self._gateway_count):
            self.gateways.append(self.start_gateway(index))
        self.submit(declarations.document_of(self.shape), 0)
        self.wait_ready()

    def stop(self) -> None:
        """Stops every process."""
        groups = (
            self.gateways,
            self.sidecars,
            self.engines + self.plain_endpoints,
            [self.platform] if self.platform else [],
        )
        for group in groups:
            for process in group:
                process.request_stop()
            for process in group:
                process.stop()

    def start_gateway(
        self, index: int, *more_flags: str
    ) -> local_process.LocalProcess:
        """Starts one gateway."""
        digest = declarations.digest_of(declarations.OPERATOR_CREDENTIAL)
        return local_process.LocalProcess(
            "bronzeslip.gateway",
            *self._common_flags(f"entry-{index}", index),
            "--operator-credentials-sha256",
            digest,
            *self._gateway_flags,
            *more_flags,
        )

    def start_engine(self) -> local_process.LocalProcess:
        """Starts one engine."""
        return local_process.LocalProcess(
            "standins.engine",
            "--model",
            self.shape.model,
            "--checks-fencing",
            *self._engine_flags,
        )

    def start_sidecar(
        self,
        name: str,
        pool: str,
        endpoint: local_process.LocalProcess,
        index: int,
    ) -> local_process.LocalProcess:
        """Starts the sidecar of an endpoint."""
        return local_process.LocalProcess(
            "bronzeslip.sidecar",
            *self._common_flags(f"vm-{name}", index),
            "--endpoint-id",
            name,
            "--pool",
            pool,
            "--endpoint-url",
            endpoint.http_url(),
            *self._sidecar_flags,
        )

    def submit(self, patch: object, base_number: int) -> int:
        """Submits a patch and returns the new configuration number."""
        response = httpx.post(
            f"{self.gateways[0].http_url()}/v1/configuration/patches",
            headers=operator_headers(),
            json={
                "patch_id": ids.random_id(),
                "base_number": base_number,
                "operator": "trial",
                "patch": patch,
            },
        )
        response.raise_for_status()
        return response.json()["number"]

    def wait_ready(self) -> None:
        """Waits until every gateway serves the engine pool.

        Raises:
            RuntimeError: If that takes too long.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for gateway in self.gateways:
            while not self._serves(gateway):
                if time.monotonic() > deadline_s:
                    raise RuntimeError("the deployment was not ready in time")
                time.sleep(0.05)

    def _serves(self, gateway: local_process.LocalProcess) -> bool:
        response = httpx.post(
            f"{gateway.http_url()}/v1/completions",
            headers=caller_headers(self.shape.workspaces[0]),
            json={"model": self.shape.model, "prompt": "ready? #length=1"},
        )
        return response.status_code == httpx.codes.OK

    def _start_endpoints(self) -> None:
        for _ in range(self.shape.engine_count):
            self.engines.append(self.start_engine())
        for _ in range(self.shape.plain_count):
            self.plain_endpoints.append(
                local_process.LocalProcess("standins.plain")
            )

    def _start_sidecars(self) -> None:
        groups = (
            (self.shape.engine_pool, self.engines),
            (self.shape.plain_pool, self.plain_endpoints),
        )
        for pool, endpoints in groups:
            for index, endpoint in enumerate(endpoints):
                self.sidecars.append(
                    self.start_sidecar(f"{pool}-{index}", pool, endpoint, index)
                )

    def _common_flags(self, vm_id: str, index: int) -> tuple[str, ...]:
        region = self.shape.regions[index % len(self.shape.regions)]
        return (
            "--vm-id",
            vm_id,
            "--region",
            region,
            "--failure-domain",
            f"{region}-1",
            "--peer-key",
            PEER_KEY,
            "--platform-url",
            self.platform.http_url(),
            "--log-format",
            "json",
        )


def caller_headers(workspace: str) -> dict[str, str]:
    """Returns the request headers of a caller in a workspace."""
    credential = declarations.credential_of(workspace)
    return {"Authorization": f"Bearer {credential}"}


def operator_headers() -> dict[str, str]:
    """Returns the request headers of an operator."""
    return {"Authorization": f"Bearer {declarations.OPERATOR_CREDENTIAL}"}
