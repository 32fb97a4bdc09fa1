"""Tests of structured log lines."""

import json
import unittest
from unittest import mock

from absl import logging

from bronzeslip import logs


class EventLoggerTest(unittest.TestCase):
    def write_line(self, log_format, **fields):
        self.addCleanup(logs.EventLogger.set_format, logs.LogFormat.KEY_VALUE)
        logs.EventLogger.set_format(log_format)
        with mock.patch.object(logging, "log") as written:
            logs.get_logger("here").warning("thing.happened", **fields)
        [call] = written.call_args_list
        return call.args[2]

    def test_key_value_line(self):
        line = self.write_line(
            logs.LogFormat.KEY_VALUE, request_id="r1", count=2, empty=""
        )
        self.assertEqual(
            line,
            'event=thing.happened module=here request_id=r1 count=2 empty=""',
        )

    def test_value_cannot_inject_line_or_field(self):
        for value in ('a"b', "a=b", "a\nevent=x", "a\tb", "a b", "\x1b[1m"):
            with self.subTest(value=value):
                line = self.write_line(logs.LogFormat.KEY_VALUE, path=value)
                self.assertTrue(line.isprintable())
                self.assertEqual(json.loads(line.split("path=", 1)[1]), value)

    def test_json_line(self):
        line = self.write_line(logs.LogFormat.JSON, level_s=1.5, path='a"\n')
        decoded = json.loads(line)
        self.assertEqual(decoded["event"], "thing.happened")
        self.assertEqual(decoded["path"], 'a"\n')
        self.assertEqual(decoded["level"], "WARNING")

    # Guards against a log line that ends the task which writes it.
    def test_values_that_cannot_be_encoded_are_described(self):
        for log_format in logs.LogFormat:
            for value in ("\ud800", 10**5000, _Unprintable()):
                with self.subTest(log_format=log_format, type=type(value)):
                    line = self.write_line(log_format, reason=value)
                    self.assertIn("thing.happened", line)
                    line.encode()

    # Guards against queued lines that fill the memory of the process.
    def test_long_values_are_cut(self):
        for log_format in logs.LogFormat:
            with self.subTest(log_format=log_format):
                line = self.write_line(log_format, key="k" * 1_000_000)
                self.assertLess(len(line), 2_000)
                self.assertIn("(1000000 characters)", line)


class _Unprintable:
    def __str__(self):
        raise ValueError

    __repr__ = __str__


if __name__ == "__main__":
    unittest.main()
