"""Tests of the watch over the memory of a process."""

import os
import socket
import subprocess
import sys
import unittest

from tools import memory_watch

_BYTES = 60_000_000
_UNREAD_BYTES = 100_000


class MemoryWatchTest(unittest.TestCase):
    def test_peak_contains_memory_that_was_freed_again(self):
        watch = memory_watch.MemoryWatch(os.getpid())
        watch.sample()
        before_bytes = watch.peak_bytes
        block = b"x" * (before_bytes + _BYTES)
        del block
        watch.sample()
        self.assertGreaterEqual(watch.peak_bytes, before_bytes + _BYTES)
        self.assertEqual(watch.peak_bytes, watch.resident_peak_bytes)

    def test_bytes_that_are_not_read_count(self):
        listening = socket.create_server(("127.0.0.1", 0))
        sender = socket.create_connection(listening.getsockname())
        receiver, _ = listening.accept()
        for opened in (listening, sender, receiver):
            self.addCleanup(opened.close)
        sender.sendall(bytes(_UNREAD_BYTES))
        watch = memory_watch.MemoryWatch(os.getpid())
        self.assertGreaterEqual(watch.unread_bytes(), _UNREAD_BYTES)
        while receiver.recv(_UNREAD_BYTES, socket.MSG_DONTWAIT):
            if watch.unread_bytes() == 0:
                break
        self.assertEqual(watch.unread_bytes(), 0)

    def test_watch_of_an_ended_process_does_not_fail(self):
        process = subprocess.Popen([sys.executable, "-c", ""])
        process.wait()
        watch = memory_watch.MemoryWatch(process.pid)
        watch.sample()
        self.assertEqual(watch.peak_bytes, 0)


if __name__ == "__main__":
    unittest.main()
