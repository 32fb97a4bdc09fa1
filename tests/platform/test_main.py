"""Tests of the start of a gateway process."""

import signal
import subprocess
import sys
import unittest
from unittest import mock

from bronzeslip.platform import __main__ as platform_main

_LIST_MODULES = "import sys, bronzeslip.platform.__main__; print(*sys.modules)"
_SLOW_MODULES = {"httpx", "litestar", "msgspec", "bronzeslip.platform.gateway"}


class MainTest(unittest.TestCase):
    def test_reload_is_ignored_before_modules_are_imported(self):
        handlers = []

        def import_module(_):
            handlers.append(signal.getsignal(signal.SIGHUP))
            return mock.Mock()

        previous = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        with mock.patch.object(
            platform_main.importlib, "import_module", import_module
        ):
            platform_main.main()
        self.assertEqual(handlers, [signal.SIG_IGN])

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
