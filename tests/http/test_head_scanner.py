"""Tests of bronzeslip.http.head_scanner."""

import unittest

from bronzeslip.http import head_scanner

_HEAD = (
    b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 4\r\n"
    b"X-Request: q1\r\n\r\n"
)


def _is_found(*chunks):
    scanner = head_scanner.HeadScanner(b"x-request")
    return any(scanner.find(chunk) is not None for chunk in chunks)


class HeadScannerTest(unittest.TestCase):
    def test_head_is_found_wherever_it_is_split(self):
        for body in (_HEAD, b"own" + _HEAD, b"a\r\n\r\nb" + _HEAD + b"late"):
            for cut in range(len(body)):
                with self.subTest(body=body, cut=cut):
                    self.assertTrue(_is_found(body[:cut], body[cut:]))
            pieces = [body[i : i + 1] for i in range(len(body))]
            self.assertTrue(_is_found(*pieces))

    def test_bytes_before_the_head_are_counted(self):
        scanner = head_scanner.HeadScanner(b"x-request")
        self.assertIsNone(scanner.find(b"own HTTP/"))
        self.assertEqual(scanner.find(_HEAD.removeprefix(b"HTTP/")), 0)
        scanner = head_scanner.HeadScanner(b"x-request")
        self.assertIsNone(scanner.find(b"own"))
        self.assertEqual(scanner.find(b"body" + _HEAD), 4)

    # Guards against losing bodies that quote the protocol.
    def test_other_text_is_not_taken_for_a_head(self):
        for body in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx-request: q1",
            b"HTTP/1.1 200 OK\nx-request: q1\n\n",
            b"x-request: q1\r\n\r\n",
            b"answered HTTP/1.1 200 OK",
            b"HTTP/1.1 " * 10_000,
        ):
            with self.subTest(body=body[:80]):
                self.assertFalse(_is_found(body, body))

    def test_kept_bytes_are_bounded(self):
        scanner = head_scanner.HeadScanner(b"x-request")
        for _ in range(10):
            scanner.find(b"HTTP/1.1 200 " + 10_000 * b"x")
        self.assertLess(len(scanner._beginning), 40_000)

    def test_head_that_goes_on_after_the_body_is_found(self):
        for split in range(1, len(_HEAD)):
            with self.subTest(split=split):
                scanner = head_scanner.HeadScanner(b"x-request")
                found = scanner.find(b"body" + _HEAD[:split])
                self.assertTrue(
                    found is not None or scanner.reaches_beyond(_HEAD[split:])
                )

    def test_head_that_begins_after_the_body_is_no_part_of_it(self):
        scanner = head_scanner.HeadScanner(b"x-request")
        scanner.find(b"body")
        self.assertFalse(scanner.reaches_beyond(_HEAD))


if __name__ == "__main__":
    unittest.main()
