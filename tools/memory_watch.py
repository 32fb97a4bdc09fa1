"""Watches how much memory a process uses."""

import contextlib
import pathlib
import re

_BYTES_PER_KIB = 1024
_SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")
# Columns of the kernel's table of TCP sockets.
_STATE_COLUMN = 3
_QUEUES_COLUMN = 4
_INODE_COLUMN = 9
_LISTEN_STATE = "0A"


class MemoryWatch:
    """Samples the memory of a process.

    Bytes that the kernel has received for the process count as its memory.

    Attributes:
        resident_peak_bytes: Peak of the resident memory.
        peak_bytes: Largest sample or, if higher, peak of the resident memory.
        peak_descriptors: Largest number of open descriptors.
    """

    def __init__(self, process_id: int) -> None:
        self.resident_peak_bytes = 0
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._folder = pathlib.Path("/proc") / str(process_id)

    def sample(self) -> None:
        """Takes one sample, unless the process has ended."""
        # A process that has ended has neither sizes nor open files.
        with contextlib.suppress(OSError, KeyError):
            self._sample()

    def _sample(self) -> None:
        status = dict(
            line.split(":", 1)
            for line in (self._folder / "status").read_text().splitlines()
        )
        resident_bytes, self.resident_peak_bytes = (
            int(status[name].split()[0]) * _BYTES_PER_KIB
            for name in ("VmRSS", "VmHWM")
        )
        self.peak_descriptors = max(
            self.peak_descriptors, len(list((self._folder / "fd").iterdir()))
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
