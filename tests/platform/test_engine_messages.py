"""Tests of bronzeslip.platform.engine_messages."""

import unittest

import msgspec

from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import engine_messages
from tests.support import nested_json

_REPORT = {
    "waiting": 1,
    "running": 2,
    "kv_used": 300,
    "kv_total": 900,
    "held": 4,
    "leaves_ms": 2500,
    "runs": [["r", 30, 4, 5]],
}


def _encode(**changes):
    return msgspec.json.encode({**_REPORT, **changes})


class ReportTest(unittest.TestCase):
    def test_fields_are_decoded(self):
        report = engine_messages.decode_report(_encode())
        self.assertEqual(report.used_tokens, 300)
        self.assertEqual(report.leaves_in_s, 2.5)
        self.assertTrue(report.is_leaving)
        self.assertEqual(report.runs[0].events, 4)

    def test_engine_that_should_have_left_is_leaving(self):
        report = engine_messages.decode_report(_encode(leaves_ms=-700))
        self.assertEqual(report.leaves_in_s, -0.7)
        self.assertTrue(report.is_leaving)

    # Guards against reports that end the task that polls them.
    def test_unusable_reports_raise(self):
        for body in (
            b"",
            b"\xff",
            bytes(nested_json.OBJECT),
            _encode()[:-1] + b',"x":%s}' % bytes(nested_json.OBJECT),
            _encode()[:-1] + b',"waiting":%s}' % (b"9" * 5000),
            _encode()[:-1] + b',"leaves_ms":1e999}',
            _encode(leaves_ms=1e300),
            _encode(running=-1),
            _encode(kv_total=2**60),
            _encode(runs=[["r", -1, 4, 5]]),
        ):
            with (
                self.subTest(body=body[-40:]),
                self.assertRaises(endpoint_errors.EndpointResponseLostError),
            ):
                engine_messages.decode_report(body)


class MoveResponseTest(unittest.TestCase):
    def test_fields_are_decoded(self):
        result = engine_messages.decode_move_response(
            b'{"handle":"h-1","create_revision":3}'
        )
        self.assertEqual((result.handle, result.events), ("h-1", 3))

    # Guards against handles that can't be part of a path or a header.
    def test_unusable_handles_raise(self):
        for handle in ("", "a b", "a\r\nb", "\u00e9", "x" * 5000):
            body = msgspec.json.encode({"handle": handle})
            with (
                self.subTest(handle=handle[:10]),
                self.assertRaises(endpoint_errors.EndpointResponseLostError),
            ):
                engine_messages.decode_move_response(body)


if __name__ == "__main__":
    unittest.main()
