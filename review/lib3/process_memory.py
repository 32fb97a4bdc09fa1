"""Memory of a process as DEPLOY.md counts it.

Bytes that have been received and not yet read count beside its own memory.
"""

import pathlib
import re

_SOCKET = re.compile(r"socket:\[(\d+)\]")
_LISTENING = "0A"


def own_bytes(pid: int) -> int:
    """Returns the memory of a process without the files that it maps."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"RssAnon:\s+(\d+)", status).group(1)) * 1024


def unread_bytes(pid: int) -> int:
    """Returns what its connections have received and it has not read."""
    inodes = set()
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            found = _SOCKET.fullmatch(str(link.readlink()))
        except OSError:
            continue
        if found:
            inodes.add(found.group(1))
    table = pathlib.Path(f"/proc/{pid}/net/tcp").read_text()
    rows = [line.split() for line in table.splitlines()[1:]]
    return sum(
        int(row[4].split(":")[1], 16)
        for row in rows
        if row[9] in inodes and row[3] != _LISTENING
    )
