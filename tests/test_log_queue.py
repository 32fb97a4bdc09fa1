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

_LOGGING_PROGRAM = """
import logging
from bronzeslip import log_queue
with log_queue.background_writer():
    for number in range(20_000):
        logging.getLogger().error("line %d of many", number)
"""

# Arguments that precede the interpreter and its program.
_WITHOUT_STANDARD_OUTPUT = ("/bin/sh", "-c", 'exec "$0" -c "$1" >&-')


class _BlockedOutput(io.BytesIO):
    """Output that blocks writes until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


class _FailingOutput(io.BytesIO):
    """Output that fails, is not ready, and accepts lines from then on."""

    def __init__(self):
        super().__init__()
        self.results = [OSError(28, "full"), OSError(28, "full"), None]

    def write(self, text):
        if not self.results:
            return super().write(text)
        result = self.results.pop(0)
        if result is not None:
            raise result
        return None


class _FullOutput(io.BytesIO):
    """Non-blocking output that accepts nothing for the first writes."""

    def __init__(self, refusals):
        super().__init__()
        self._refusals = refusals

    def write(self, text):
        if self._refusals:
            self._refusals -= 1
            return None
        return super().write(text)


class LogQueueTest(unittest.TestCase):
    def test_lines_reach_standard_output_in_order(self):
        output = io.BytesIO()
        with log_queue.background_writer(output):
            for number in range(5):
                logging.getLogger().error("line %d", number)
        self.assertEqual(
            output.getvalue().decode().splitlines(),
            [f"line {n}" for n in range(5)],
        )

    def test_blocked_output_does_not_delay_logging(self):
        output = _BlockedOutput()
        with (
            mock.patch.object(log_queue, "_MAX_QUEUED_RECORDS", 10),
            log_queue.background_writer(output),
        ):
            started_s = time.monotonic()
            for number in range(1000):
                logging.getLogger().error("line %d", number)
            elapsed_s = time.monotonic() - started_s
            output.released.set()
            time.sleep(0.2)
            logging.getLogger().error("after")
        self.assertLess(elapsed_s, 5)
        lines = output.getvalue().decode().splitlines()
        self.assertLess(len(lines), 20)
        self.assertIn("logs.dropped", lines[-2])
        self.assertEqual(lines[-1], "after")

    def test_shutdown_does_not_wait_for_blocked_output(self):
        program = subprocess.Popen(
            [sys.executable, "-c", _LOGGING_PROGRAM],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(program.stdout.close)
        self.addCleanup(program.stderr.close)
        self.addCleanup(program.kill)
        self.assertEqual(program.wait(20), 0)
        self.assertEqual(program.stderr.read(), b"")

    # Guards against queued lines that fill the memory of the process.
    def test_size_of_queued_lines_is_bounded(self):
        output = _BlockedOutput()
        with (
            mock.patch.object(log_queue, "_MAX_QUEUED_CHARS", 10_000),
            log_queue.background_writer(output),
        ):
            for _ in range(1000):
                logging.getLogger().error("%s", "x" * 1000)
            output.released.set()
        self.assertLess(len(output.getvalue()), 20_000)

    # Guards against a writer that turns without end on a full output.
    def test_non_blocking_output_is_retried_after_a_delay(self):
        output = _FullOutput(refusals=2)
        with (
            mock.patch.object(log_queue, "_RETRY_DELAY_S", 0.05),
            log_queue.background_writer(output),
        ):
            started_s = time.monotonic()
            logging.getLogger().error("line")
        self.assertEqual(output.getvalue(), b"line\n")
        self.assertGreaterEqual(time.monotonic() - started_s, 0.1)

    # Guards against a writer that ends, with all later lines, at an error.
    def test_lines_are_written_after_an_output_has_failed(self):
        output = _FailingOutput()
        with log_queue.background_writer(output):
            for number in range(4):
                logging.getLogger().error("line %d", number)
        lines = output.getvalue().decode().splitlines()
        self.assertIn('"logs.dropped", "count": 2', lines[0])
        self.assertEqual(lines[1:], ["line 2", "line 3"])

    # Guards against a process that does not start without standard output.
    def test_standard_output_may_be_closed(self):
        result = subprocess.run(
            [*_WITHOUT_STANDARD_OUTPUT, sys.executable, _LOGGING_PROGRAM],
            check=False,
            stderr=subprocess.PIPE,
        )
        self.assertEqual((result.returncode, result.stderr), (0, b""))

    def test_handlers_are_restored(self):
        before = logging.getLogger().handlers[:]
        with log_queue.background_writer(io.BytesIO()):
            pass
        self.assertEqual(logging.getLogger().handlers, before)


class LogRateTest(unittest.TestCase):
    def test_lines_beyond_the_rate_are_counted(self):
        rate_limiter = log_rate.LogRateLimiter()
        written = sum(rate_limiter.try_acquire() for _ in range(5000))
        self.assertLess(written, 1000)
        self.assertEqual(rate_limiter.take_suppressed_count(), 5000 - written)
        self.assertEqual(rate_limiter.take_suppressed_count(), 0)
