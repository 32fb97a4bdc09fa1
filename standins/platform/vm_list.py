"""Lagging list of VMs of the platform stand-in."""

import collections
import time

from bronzeslip import ids
from bronzeslip.store import objects


class VmList:
    """VMs as they were some time ago."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._pending_changes: collections.deque[
            tuple[float, ids.VmId, objects.VmEntry | None]
        ] = collections.deque()
        self._visible_entries: dict[ids.VmId, objects.VmEntry] = {}

    def set(self, vm_id: ids.VmId, entry: objects.VmEntry | None) -> None:
        """Changes a VM; the list shows it after the lag."""
        visible_at_s = time.monotonic() + self._lag_s
        self._pending_changes.append((visible_at_s, vm_id, entry))

    def entries(self) -> tuple[objects.VmEntry, ...]:
        """Lists the VMs as the lag shows them."""
        now_s = time.monotonic()
        while self._pending_changes and self._pending_changes[0][0] <= now_s:
            _, vm_id, entry = self._pending_changes.popleft()
            if entry is None:
                self._visible_entries.pop(vm_id, None)
            else:
                self._visible_entries[vm_id] = entry
        return tuple(self._visible_entries.values())
