"""VM list of the platform stand-in, which shows changes after a delay."""

import collections
import time

from bronzeslip import ids
from bronzeslip.store import objects


class VmList:
    """List of VMs in which changes become visible after a fixed lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._pending_changes: collections.deque[
            tuple[float, ids.VmId, objects.VmEntry | None]
        ] = collections.deque()
        self._visible_entries: dict[ids.VmId, objects.VmEntry] = {}

    def set(self, vm_id: ids.VmId, entry: objects.VmEntry | None) -> None:
        """Adds, replaces or removes (None) a VM, visible after the lag."""
        visible_at_s = time.monotonic() + self._lag_s
        self._pending_changes.append((visible_at_s, vm_id, entry))

    def entries(self) -> tuple[objects.VmEntry, ...]:
        """Returns the VMs that are visible now."""
        now_s = time.monotonic()
        while self._pending_changes and self._pending_changes[0][0] <= now_s:
            _, vm_id, entry = self._pending_changes.popleft()
            if entry is None:
                self._visible_entries.pop(vm_id, None)
            else:
                self._visible_entries[vm_id] = entry
        return tuple(self._visible_entries.values())
