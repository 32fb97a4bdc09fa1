"""Tests of bronzeslip.platform.request_decoder."""

import unittest

from bronzeslip.forwarding import errors
from bronzeslip.platform import request_decoder

_HEADERS = [
    (b"host", b"Ficu95.example:8080"),
    (b"bronzeslip-attempt-id", b"9c41"),
    (b"bronzeslip-deadline-ms", b"1500"),
    (b"bronzeslip-key", b"secret"),
    (b"content-length", b"4"),
    (b"x-own", b"kept"),
]


def _decode(*extra, target=b"/a%20b/?q=%31"):
    scope = {
        "method": "POST",
        "target": target,
        "raw_path": target.partition(b"?")[0],
        "headers": [*_HEADERS, *extra],
    }
    return request_decoder.decode(scope, b"body", 5.0)


def _names(request):
    return {field.name for field in request.headers}


class DecodeTest(unittest.TestCase):
    def test_target_and_body_are_not_modified(self):
        request = _decode()
        self.assertEqual(request.target, b"/a%20b/?q=%31")
        self.assertEqual(request.body, b"body")
        self.assertEqual(request.host, "ficu95.example")
        self.assertEqual(request.caller_timeout_s, 1.5)
        self.assertEqual(request.key, "secret")
        self.assertIn(b"x-own", _names(request))
        self.assertIn(b"bronzeslip-attempt-id", _names(request))

    def test_internal_headers_are_dropped(self):
        forged = (
            b"bronzeslip-tenant",
            b"bronzeslip-target-instance",
            b"bronzeslip-request-priority",
            b"bronzeslip-hold",
            b"bronzeslip-pin-ms",
            b"bronzeslip-kv-backup",
            b"kv-from",
            b"kv-fetch",
        )
        request = _decode(*((name, b"forged") for name in forged))
        self.assertFalse(_names(request) & set(forged))
        self.assertNotIn(b"bronzeslip-key", _names(request))
        self.assertNotIn(b"bronzeslip-deadline-ms", _names(request))

    def test_hop_by_hop_headers_are_dropped(self):
        request = _decode(
            (b"connection", b"keep-alive, X-Hop"),
            (b"x-hop", b"1"),
            (b"te", b"trailers"),
            (b"transfer-encoding", b"chunked"),
        )
        for name in (b"connection", b"x-hop", b"te", b"transfer-encoding"):
            self.assertNotIn(name, _names(request))

    def test_connection_header_does_not_drop_required_headers(self):
        request = _decode((b"connection", b"bronzeslip-attempt-id, host"))
        self.assertIn(b"bronzeslip-attempt-id", _names(request))
        self.assertIn(b"host", _names(request))

    # Guards against running a request whose response can't be recognized, and
    # against counting one that can't be sent as lost by its endpoint.
    def test_repeated_id_or_host_is_rejected(self):
        for field in (
            (b"bronzeslip-attempt-id", b"9c42"),
            (b"bronzeslip-attempt-id", b"9c41"),
            (b"bronzeslip-attempt-id", b""),
            (b"host", b"other.example"),
        ):
            with (
                self.subTest(field=field),
                self.assertRaises(errors.BadRequestError),
            ):
                _decode(field)

    def test_prompt_shape_is_decoded(self):
        request = _decode(
            (b"bronzeslip-model", b"m"),
            (b"bronzeslip-token-usage", b"1460,80"),
            (b"bronzeslip-prompt-prefix", b"5c1e:800,91bd:410"),
            (b"bronzeslip-length-hint", b"40"),
        )
        self.assertEqual(request.shape.prompt_tokens, 1460)
        self.assertEqual(request.shape.expected_tokens, 1500)
        self.assertEqual(request.shape.parts[1].tokens, 410)

    def test_invalid_prompt_shape_is_forwarded_unparsed(self):
        request = _decode((b"bronzeslip-token-usage", b"many"))
        self.assertIsNone(request.shape)
        self.assertIn(b"bronzeslip-token-usage", _names(request))

    # Guards against a status 500 for numbers of thousands of digits.
    def test_numbers_of_thousands_of_digits_are_forwarded_unparsed(self):
        digits = b"9" * 5000
        request = _decode((b"bronzeslip-token-usage", b"1," + digits))
        self.assertIsNone(request.shape)
        request = _decode(
            (b"bronzeslip-token-usage", b"7, 8"),
            (b"bronzeslip-length-hint", digits),
            (b"bronzeslip-prompt-prefix", b"a:%s,b:3" % digits),
        )
        self.assertEqual(request.shape.prompt_tokens, 7)
        self.assertEqual(request.shape.max_output_tokens, 8)
        self.assertIsNone(request.shape.expected_output_tokens)
        self.assertEqual([part.tokens for part in request.shape.parts], [3])

    # Guards against numbers of thousands of digits in the headers of a caller,
    # which raised an exception.
    def test_token_counts_that_are_too_large_are_forwarded_unparsed(self):
        for digits in (400, 5000):
            large = b"9" * digits
            with self.subTest(digits=digits):
                for usage in (large + b",80", b"80," + large):
                    request = _decode((b"bronzeslip-token-usage", usage))
                    self.assertIsNone(request.shape)
                    self.assertIn(b"bronzeslip-token-usage", _names(request))
                shape = _decode(
                    (b"bronzeslip-token-usage", b"1460,80"),
                    (b"bronzeslip-prompt-prefix", b"5c1e:800,91bd:" + large),
                    (b"bronzeslip-length-hint", large),
                ).shape
                self.assertEqual(len(shape.parts), 1)
                self.assertIsNone(shape.expected_output_tokens)

    def test_deadline_that_is_not_a_number_is_rejected(self):
        scope = {
            "method": "GET",
            "target": b"/",
            "raw_path": b"/",
            "headers": [
                (b"bronzeslip-attempt-id", b"1"),
                (b"bronzeslip-deadline-ms", b"soon"),
            ],
        }
        with self.assertRaises(errors.BadRequestError):
            request_decoder.decode(scope, b"", 0.0)

    def test_request_without_an_id_is_rejected(self):
        scope = {
            "method": "GET",
            "target": b"/",
            "raw_path": b"/",
            "headers": [],
        }
        with self.assertRaises(errors.BadRequestError):
            request_decoder.decode(scope, b"", 0.0)
