"""Tests of bronzeslip.platform.command."""

import contextlib
import io
import unittest
from unittest import mock

from bronzeslip.platform import command


class CommandTest(unittest.TestCase):
    # Guards against a traceback in place of a message to the operator.
    def test_a_missing_variable_is_named(self):
        output = io.StringIO()
        with (
            mock.patch.dict(command.os.environ, clear=True),
            contextlib.redirect_stderr(output),
            self.assertRaises(SystemExit) as raised,
        ):
            command.main()
        self.assertEqual(raised.exception.code, 1)
        self.assertEqual(
            output.getvalue(),
            "bronzeslip-entry: boot-file: BRONZESLIP_BOOT: missing\n",
        )


if __name__ == "__main__":
    unittest.main()
