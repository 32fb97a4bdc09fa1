"""Tests of bronzeslip.library_logs."""

import contextlib
import logging
import unittest

from bronzeslip import library_logs
from tests.support import log_capture


@contextlib.contextmanager
def _restored(name):
    library = logging.getLogger(name)
    before = (library.level, library.handlers[:], library.propagate)
    try:
        yield
    finally:
        library.level, library.handlers[:], library.propagate = before


class LibraryLogsTest(unittest.TestCase):
    def setUp(self):
        for name in library_logs._LIBRARIES:
            self.enterContext(_restored(name))
        library_logs.configure()
        self.log = self.enterContext(log_capture.capture())

    # Lines and tracebacks of libraries stood between the JSON lines, as many
    # as callers caused.
    def test_message_is_an_event(self):
        logging.getLogger("uvicorn.error").warning("Invalid HTTP request.")
        line = self.log.single("library.message")
        self.assertEqual(line["library"], "uvicorn.error")
        self.assertEqual(line["message"], "Invalid HTTP request.")
        self.assertEqual(line["level"], "WARNING")

    def test_exception_is_described_without_its_data(self):
        try:
            raise KeyError("secret")
        except KeyError:
            logging.getLogger("asyncio").exception("failed: %s", "secret")
        line = self.log.single("library.message")
        self.assertEqual(line["level"], "ERROR")
        self.assertIn("KeyError", line["reason"])
        self.assertNotIn("secret", str(line))

    def test_lines_are_limited(self):
        for _ in range(5_000):
            logging.getLogger("uvicorn.error").warning("Invalid HTTP request.")
        self.assertLess(len(self.log.lines), 1_000)

    def test_messages_below_warnings_are_left_out(self):
        logging.getLogger("httpx").info("HTTP Request")
        self.assertEqual(self.log.lines, [])


if __name__ == "__main__":
    unittest.main()
