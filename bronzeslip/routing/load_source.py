"""Interface to the reported load of endpoints."""

from typing import Protocol

from bronzeslip.transport.frames import link


class LoadSource(Protocol):
    """Provides the latest load reported by sidecars."""

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the latest load reported by the sidecar at an address."""

    def load_age_s(self, address: str) -> float:
        """Returns the age of the latest report, in seconds.

        The age is infinite if there is no report yet.
        """

    def request_load(self, address: str) -> None:
        """Requests a load report from a sidecar that has never sent one."""
