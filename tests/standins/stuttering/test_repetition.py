"""Tests of the second responses of the stuttering endpoint stand-in."""

import itertools
import random
import unittest

from standins.stuttering import repetition
from standins.stuttering import repetition_content
from standins.stuttering import repetition_time
from standins.stuttering import response_kind
from standins.stuttering import sent_response

_ID_FIELD = b"Bronzeslip-Attempt-Id: q1"
_STAMP_FIELD = b"Bronzeslip-Response-Stamp: i-1.0"
_Content = repetition_content.RepetitionContent
_Kind = response_kind.ResponseKind
_SEEDS = range(40)


def _encoded(content, is_broken_off, seed, kind=_Kind.SUCCESS):
    response = sent_response.SentResponse(
        "q1", kind.status, "i-1.0", b"body", kind.has_run
    )
    selected = repetition.Repetition(
        content, repetition_time.RepetitionTime.BEFORE_NEXT, is_broken_off
    )
    return repetition.encode(selected, response, kind, random.Random(seed))


class RepetitionTest(unittest.TestCase):
    def test_same_response_has_status_id_stamp_and_body(self):
        for kind in (_Kind.SUCCESS, _Kind.FAILURE, _Kind.REFUSAL):
            encoded = _encoded(_Content.SAME, False, 1, kind)
            self.assertTrue(encoded.startswith(b"HTTP/1.1 %d " % kind.status))
            self.assertIn(_ID_FIELD, encoded)
            self.assertIn(_STAMP_FIELD, encoded)
            self.assertTrue(encoded.endswith(b"\r\n\r\nbody"))

    def test_other_status_keeps_the_id(self):
        for seed in _SEEDS:
            encoded = _encoded(_Content.OTHER_STATUS, False, seed)
            self.assertFalse(encoded.startswith(b"HTTP/1.1 200 "))
            self.assertIn(_ID_FIELD, encoded)

    def test_unnamed_response_has_no_id(self):
        encoded = _encoded(_Content.UNNAMED, False, 1)
        self.assertTrue(encoded.startswith(b"HTTP/1.1 200 "))
        self.assertNotIn(_ID_FIELD, encoded)

    def test_broken_off_response_ends_in_head_or_body(self):
        ends_in_head = set()
        for content, seed in itertools.product(_Content, _SEEDS):
            encoded = _encoded(content, True, seed)
            self.assertTrue(b"HTTP/1.1 ".startswith(encoded[:9]))
            self.assertFalse(encoded.endswith(b"\r\n\r\nbody"))
            ends_in_head.add(b"\r\n\r\n" not in encoded)
        self.assertEqual(ends_in_head, {True, False})


if __name__ == "__main__":
    unittest.main()
