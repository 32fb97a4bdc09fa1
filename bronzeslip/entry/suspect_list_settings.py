"""Settings of an entry gateway's list of suspects."""

import msgspec

from bronzeslip import ids


class SuspectListSettings(msgspec.Struct, frozen=True):
    """Whose list it is, and how long its entries last.

    Attributes:
        vm_id: VM of the gateway.
        suspect_ttl_s: Time that a request stays suspect, in seconds.
    """

    vm_id: ids.VmId
    suspect_ttl_s: float
