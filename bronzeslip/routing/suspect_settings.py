"""Settings of the suspect list."""

from typing import Protocol

from bronzeslip import ids


class SuspectSettings(Protocol):
    """Gateway settings that the suspect list uses.

    Attributes:
        vm_id: VM id of the gateway.
        suspect_ttl_s: Time for which a request stays suspect, in seconds.
    """

    vm_id: ids.VmId
    suspect_ttl_s: float
