"""Settings of the suspect list of an entry gateway."""

import msgspec

from bronzeslip import ids


class SuspectListSettings(msgspec.Struct, frozen=True):
    """Owner of a suspect list and time to live of its entries.

    Attributes:
        vm_id: VM of the gateway.
        suspect_ttl_s: Time for which a request stays suspect, in seconds.
    """

    vm_id: ids.VmId
    suspect_ttl_s: float
