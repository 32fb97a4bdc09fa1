"""Requests of this gateway that were lost at one endpoint."""

from bronzeslip import ids
from bronzeslip.routing import poison_parts


class LostRequests:
    """Requests lost at an endpoint that may have crashed.

    Attributes:
        fingerprints: Fingerprints of the requests.
        prompts: Parts of the prompts that the endpoint had not yet begun to
            answer.
    """

    def __init__(self) -> None:
        self.fingerprints: set[ids.Fingerprint] = set()
        self.prompts: set[poison_parts.PartSet] = set()
