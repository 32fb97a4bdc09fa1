"""Interface to what is known of endpoints' load."""

from typing import Protocol

from bronzeslip.transport.frames import link


class LoadSource(Protocol):
    """Knows the latest load heard from sidecars."""

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the latest load heard from the sidecar at an address."""

    def load_age_s(self, address: str) -> float:
        """Returns the time since it was heard; infinite if never."""

    def request_load(self, address: str) -> None:
        """Makes the sidecar at an address tell its load, if it never has."""
