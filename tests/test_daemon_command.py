"""Tests of bronzeslip.daemon_command."""

import asyncio
import unittest

from bronzeslip import daemon_command
from tests.support import log_capture


class _Daemon:
    """Daemon with a callback that fails."""

    async def run(self):
        def fail():
            raise KeyError("secret")

        asyncio.get_running_loop().call_soon(fail)
        await asyncio.sleep(0.01)


class DaemonCommandTest(unittest.TestCase):
    # Exceptions of callbacks were written as tracebacks, with their data.
    def test_exception_of_a_callback_is_logged(self):
        with log_capture.capture() as log:
            asyncio.run(
                daemon_command._create_and_run(lambda _: _Daemon(), None)
            )
        line = log.single("daemon.unhandled")
        self.assertIn("KeyError", line["reason"])
        self.assertNotIn("secret", line["reason"])
        log.single("daemon.ended")


if __name__ == "__main__":
    unittest.main()
