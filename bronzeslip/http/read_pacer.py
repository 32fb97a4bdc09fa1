"""Bounds the processor time that parsing takes from everything else."""

import asyncio
import collections
import time
from typing import Protocol

# Processor time for which one connection is parsed at once. Then the event loop
# goes on; one piece more may be parsed, which takes about a millisecond.
MAX_TURN_S = 0.002
# Pauses between the turns of expensive connections, as a multiple of the time
# that the last turn took: all of them together take a quarter of a core.
_PAUSE_FACTOR = 3


class Deferrable(Protocol):
    """A connection whose parsing goes on later."""

    def go_on(self) -> None:
        """Continues to parse."""


class ReadPacer:
    """Gives the connections that are expensive to parse one turn at a time.

    A kilobyte of chunks of one byte takes as long to parse as a megabyte in one
    piece. Many connections that send such data would otherwise keep the event
    loop busy for seconds.
    """

    def __init__(self) -> None:
        """Creates a pacer without connections."""
        self._waiting: collections.deque[Deferrable] = collections.deque()
        self._is_scheduled = False

    def defer(self, connection: Deferrable, used_s: float) -> None:
        """Lets a connection go on after those that wait already.

        Args:
            connection: The connection.
            used_s: Processor time that its last turn took, in seconds.
        """
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._schedule(used_s)

    def _schedule(self, used_s: float) -> None:
        self._is_scheduled = True
        asyncio.get_running_loop().call_later(
            used_s * _PAUSE_FACTOR, self._run_next
        )

    def _run_next(self) -> None:
        started_s = time.thread_time()
        # Set while the connection runs, so that it does not schedule a turn.
        self._waiting.popleft().go_on()
        self._is_scheduled = False
        if self._waiting:
            self._schedule(time.thread_time() - started_s)
