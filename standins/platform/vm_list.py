"""Lagging list of VMs of the platform stand-in."""

import collections
import time

from bronzeslip import ids
from bronzeslip.store import objects


class VmList:
    """VMs as they were some time ago."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._changes: collections.deque[
            tuple[float, ids.VmId, objects.VmEntry | None]
        ] = collections.deque()
        self._seen: dict[ids.VmId, objects.VmEntry] = {}

    def set(self, vm_id: ids.VmId, entry: objects.VmEntry | None) -> None:
        """Changes a VM; the list shows it after the lag."""
        shown_at_s = time.monotonic() + self._lag_s
        self._changes.append((shown_at_s, vm_id, entry))

    def entries(self) -> tuple[objects.VmEntry, ...]:
        """Lists the VMs as the lag shows them."""
        now_s = time.monotonic()
        while self._changes and self._changes[0][0] <= now_s:
            _, vm_id, entry = self._changes.popleft()
            if entry is None:
                self._seen.pop(vm_id, None)
            else:
                self._seen[vm_id] = entry
        return tuple(self._seen.values())
