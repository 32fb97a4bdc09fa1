"""Tests of bronzeslip.listeners."""

import unittest

from bronzeslip import listeners
from tests.support import log_capture


def _fail(*_):
    raise KeyError("secret")


class ListenersTest(unittest.TestCase):
    def setUp(self):
        self.listeners = listeners.Listeners("test")
        self.calls = []

    # A callback that raised kept all later ones from being called.
    def test_failed_callback_does_not_affect_the_others(self):
        self.listeners.add(_fail)
        self.listeners.add(self.calls.append)
        with log_capture.capture() as log:
            self.listeners.notify("a")
        self.assertEqual(self.calls, ["a"])
        line = log.single("listener.failed", listener_of="test")
        self.assertIn("KeyError", line["reason"])
        self.assertNotIn("secret", line["reason"])

    def test_removed_callback_is_not_called(self):
        self.listeners.add(self.calls.append)
        self.listeners.add(self.calls.append)
        self.listeners.remove(self.calls.append)
        self.listeners.remove(self.calls.append)
        self.listeners.notify("a")
        self.assertEqual(self.calls, [])
        self.assertFalse(self.listeners)


if __name__ == "__main__":
    unittest.main()
