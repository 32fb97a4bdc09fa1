"""Settings of the list of suspects."""

from typing import Protocol

from bronzeslip import ids


class SuspectSettings(Protocol):
    """What the list of suspects takes from a gateway's settings.

    Attributes:
        vm_id: VM of the gateway.
        suspect_ttl_s: Time that a request stays suspect, in seconds.
    """

    vm_id: ids.VmId
    suspect_ttl_s: float
