"""Tests of bronzeslip.http.response_boundary."""

import unittest

from bronzeslip.http import response_boundary


class ResponseBoundaryTest(unittest.TestCase):
    # Guards against taking the status of one response with the rest of another.
    def test_status_line_in_a_head_marks_a_merged_one(self):
        for status_line in (b"HTTP/1.1 500 Internal", b"OKHTTP/1.0 204 "):
            with self.subTest(status_line=status_line):
                self.assertTrue(response_boundary.is_merged(status_line, ()))
                fields = [(b"keep-alive", b"timeo" + status_line)]
                self.assertTrue(response_boundary.is_merged(b"OK", fields))

    def test_names_of_the_protocol_are_allowed(self):
        fields = [(b"via", b"HTTP/1.1 relay"), (b"upgrade", b"HTTP/2.0")]
        self.assertFalse(response_boundary.is_merged(b"OK", fields))


if __name__ == "__main__":
    unittest.main()
