"""Settings of the suspect list of an entry gateway."""

import msgspec

from bronzeslip import ids


class SuspectListSettings(msgspec.Struct, frozen=True):
    """Settings of the list of requests suspected of having crashed an endpoint.

    Attributes:
        vm_id: VM id of the gateway that owns the list.
        suspect_ttl_s: Time for which a request stays suspect, in seconds.
    """

    vm_id: ids.VmId
    suspect_ttl_s: float
