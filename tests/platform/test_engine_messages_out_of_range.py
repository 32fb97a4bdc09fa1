"""Tests of engine_messages with numbers out of range."""

import unittest

from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import engine_messages

_REPORT = (
    b'{"waiting":1,"running":2,"kv_used":3,"kv_total":4,"held":5,'
    b'"leaves_ms":6,"runs":[["r",7,8,0]],"unknown":9}'
)
_DIGITS = b"9" * 400


class DecodeTest(unittest.TestCase):
    def test_report_is_read(self):
        report = engine_messages.decode_report(_REPORT)
        self.assertEqual(
            (report.waiting, report.running, report.used_tokens), (1, 2, 3)
        )
        self.assertEqual(report.runs[0].memory_tokens, 7)

    # Guards against a number of 400 digits in the report of one engine, which
    # made the choice between all engines of its service raise an exception.
    def test_report_with_a_number_out_of_range_is_lost(self):
        for number in b"12345678":
            for odd in (_DIGITS, b"1e999", b"NaN", b"-1e300"):
                with self.subTest(number=chr(number), odd=odd[:8]):
                    self._check_lost(
                        engine_messages.decode_report,
                        _REPORT.replace(b"%c" % number, odd),
                    )

    def test_report_that_is_nested_too_deeply_is_lost(self):
        nested = b"[" * 100_000 + b"]" * 100_000
        self._check_lost(
            engine_messages.decode_report, _REPORT.replace(b"9", nested)
        )

    def test_move_response_that_cannot_be_used_is_lost(self):
        for fields in (
            b'"handle":"h","create_revision":%s' % _DIGITS,
            b'"handle":"h\\r\\nx"',
            b'"handle":""',
        ):
            with self.subTest(fields=fields[:20]):
                self._check_lost(
                    engine_messages.decode_move_response, b"{%s}" % fields
                )

    def _check_lost(self, decode, body):
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            decode(body)


if __name__ == "__main__":
    unittest.main()
