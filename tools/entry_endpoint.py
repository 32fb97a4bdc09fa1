"""An endpoint as a process, behind a link."""

from typing import Any

import httpx

from tools import entry_configuration
from tools import local_process
from tools.faults import link

_RAN = "ran "


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
