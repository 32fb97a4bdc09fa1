"""Watches how much memory a process uses."""

import pathlib
import re
import threading
import time
from typing import Self

_INTERVAL_S = 0.05
_BYTES_PER_KIB = 1024
_SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")
# Columns of the kernel's table of TCP sockets.
_STATE_COLUMN = 3
_QUEUES_COLUMN = 4
_INODE_COLUMN = 9
_LISTEN_STATE = "0A"


class MemoryWatch:
    """Samples the memory of a process until the context ends.

    Bytes that the kernel has received for the process count as its memory.

    Attributes:
        resident_peak_bytes: Peak of the resident memory.
        peak_bytes: Largest sample or, if higher, peak of the resident memory.
    """

    def __init__(self, process_id: int) -> None:
        self.resident_peak_bytes = 0
        self.peak_bytes = 0
        self._folder = pathlib.Path("/proc") / str(process_id)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        """Starts to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Takes the last sample."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        is_last = False
        while not is_last:
            is_last = self._stop.is_set()
            try:
                self._sample()
            except (OSError, KeyError):
                # The process has ended.
                return
            time.sleep(_INTERVAL_S)

    def _sample(self) -> None:
        status = dict(
            line.split(":", 1)
            for line in (self._folder / "status").read_text().splitlines()
        )
        resident_bytes, self.resident_peak_bytes = (
            int(status[name].split()[0]) * _BYTES_PER_KIB
            for name in ("VmRSS", "VmHWM")
        )
        self.peak_bytes = max(
            self.peak_bytes,
            self.resident_peak_bytes,
            resident_bytes + self.unread_bytes(),
        )

    def unread_bytes(self) -> int:
        """Returns how much the process has received but not read yet."""
        inodes = set()
        for link in (self._folder / "fd").iterdir():
            try:
                match = _SOCKET_LINK.fullmatch(str(link.readlink()))
            except FileNotFoundError:
                continue
            if match:
                inodes.add(match.group(1))
        lines = (self._folder / "net" / "tcp").read_text().splitlines()[1:]
        return sum(
            int(columns[_QUEUES_COLUMN].split(":")[1], 16)
            for columns in map(str.split, lines)
            if columns[_INODE_COLUMN] in inodes
            and columns[_STATE_COLUMN] != _LISTEN_STATE
        )
