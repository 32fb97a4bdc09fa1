"""Tests of structured log lines."""

import json
import unittest
from unittest import mock

from absl import logging

from bronzeslip import logs


class EventLoggerTest(unittest.TestCase):
    def format_line(self, log_format, **fields):
        self.addCleanup(logs.EventLogger.set_format, logs.LogFormat.KEY_VALUE)
        logs.EventLogger.set_format(log_format)
        with mock.patch.object(logging, "log") as log_mock:
            logs.get_logger("here").warning("thing.happened", **fields)
        [call] = log_mock.call_args_list
        return call.args[2]

    def test_key_value_line(self):
        line = self.format_line(
            logs.LogFormat.KEY_VALUE, request_id="r1", count=2, empty=""
        )
        self.assertEqual(
            line,
            'event=thing.happened module=here request_id=r1 count=2 empty=""',
        )

    def test_a_value_cannot_forge_another_line_or_field(self):
        for value in ('a"b', "a=b", "a\nevent=x", "a\tb", "a b", "\x1b[1m"):
            with self.subTest(value=value):
                line = self.format_line(logs.LogFormat.KEY_VALUE, path=value)
                self.assertTrue(line.isprintable())
                self.assertEqual(json.loads(line.split("path=", 1)[1]), value)

    def test_json_line(self):
        line = self.format_line(logs.LogFormat.JSON, level_s=1.5, path='a"\n')
        parsed = json.loads(line)
        self.assertEqual(parsed["event"], "thing.happened")
        self.assertEqual(parsed["path"], 'a"\n')
        self.assertEqual(parsed["level"], "WARNING")


if __name__ == "__main__":
    unittest.main()
