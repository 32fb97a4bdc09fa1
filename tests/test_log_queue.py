"""Tests of bronzeslip.log_queue and bronzeslip.log_rate."""

import io
import logging
import subprocess
import sys
import threading
import time
import unittest
from unittest import mock

from bronzeslip import log_queue
from bronzeslip import log_rate

_MANY_LINES_PROGRAM = """
import logging
from bronzeslip import log_queue
with log_queue.running():
    for number in range(20_000):
        logging.getLogger().error("line %d of many", number)
"""


class _BlockedOutput(io.BytesIO):
    """Output that blocks writes until reading is allowed."""

    def __init__(self):
        super().__init__()
        self.read_allowed = threading.Event()

    def write(self, text):
        self.read_allowed.wait(10)
        return super().write(text)


class LogQueueTest(unittest.TestCase):
    def test_lines_reach_standard_output_in_order(self):
        output = io.BytesIO()
        with log_queue.running(output):
            for number in range(5):
                logging.getLogger().error("line %d", number)
        self.assertEqual(
            output.getvalue().decode().splitlines(),
            [f"line {n}" for n in range(5)],
        )

    def test_blocked_output_does_not_block_logging(self):
        output = _BlockedOutput()
        with (
            mock.patch.object(log_queue, "_MAX_LINES", 10),
            log_queue.running(output),
        ):
            start_s = time.monotonic()
            for number in range(1000):
                logging.getLogger().error("line %d", number)
            elapsed_s = time.monotonic() - start_s
            output.read_allowed.set()
            time.sleep(0.2)
            logging.getLogger().error("after")
        self.assertLess(elapsed_s, 5)
        lines = output.getvalue().decode().splitlines()
        self.assertLess(len(lines), 20)
        self.assertIn("logs.dropped", lines[-2])
        self.assertEqual(lines[-1], "after")

    def test_exit_does_not_wait_for_blocked_output(self):
        process = subprocess.Popen(
            [sys.executable, "-c", _MANY_LINES_PROGRAM],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.kill)
        self.assertEqual(process.wait(20), 0)
        self.assertEqual(process.stderr.read(), b"")

    def test_handlers_are_restored(self):
        old_handlers = logging.getLogger().handlers[:]
        with log_queue.running(io.BytesIO()):
            pass
        self.assertEqual(logging.getLogger().handlers, old_handlers)


class LogRateTest(unittest.TestCase):
    def test_lines_beyond_the_rate_are_counted(self):
        rate = log_rate.LogRate()
        accepted_count = sum(rate.take() for _ in range(5000))
        self.assertLess(accepted_count, 1000)
        self.assertEqual(rate.take_left_out(), 5000 - accepted_count)
        self.assertEqual(rate.take_left_out(), 0)
