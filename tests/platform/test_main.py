"""Tests of the start of a gateway process."""

import signal
import subprocess
import sys
import unittest
from unittest import mock

from bronzeslip.platform import __main__ as platform_main

_LIST_MODULES = "import sys, bronzeslip.platform.__main__; print(*sys.modules)"
# Replaces the import of the command, which takes most of the time of a start.
_SIGNAL_DURING_IMPORT = """
import signal
from bronzeslip.platform import __main__
def import_module(_):
    signal.raise_signal({number})
__main__.importlib.import_module = import_module
__main__.main()
"""
_SLOW_MODULES = {"httpx", "litestar", "msgspec", "bronzeslip.platform.gateway"}


class MainTest(unittest.TestCase):
    def test_reload_is_ignored_before_modules_are_imported(self):
        handlers = []

        def import_module(_):
            handlers.append(signal.getsignal(signal.SIGHUP))
            return mock.Mock()

        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            previous = signal.getsignal(number)
            self.addCleanup(signal.signal, number, previous)
        with mock.patch.object(
            platform_main.importlib, "import_module", import_module
        ):
            platform_main.main()
        self.assertEqual(handlers, [signal.SIG_IGN])

    # Guards against a status that tells of a failure, and against a traceback.
    def test_early_request_to_shut_down_ends_it_with_status_0(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=number.name):
                code = _SIGNAL_DURING_IMPORT.format(number=int(number))
                result = subprocess.run(
                    [sys.executable, "-c", code],
                    check=False,
                    capture_output=True,
                    text=True,
                )
                self.assertEqual((result.returncode, result.stderr), (0, ""))

    def test_module_imports_nothing_slow_by_itself(self):
        output = subprocess.run(
            [sys.executable, "-c", _LIST_MODULES],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        self.assertEqual(_SLOW_MODULES & set(output.split()), set())


if __name__ == "__main__":
    unittest.main()
