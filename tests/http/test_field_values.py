"""Tests of bronzeslip.http.field_values."""

import unittest

from bronzeslip.http import field_values


class FieldValuesTest(unittest.TestCase):
    def test_visible_characters_spaces_and_tabs_are_valid(self):
        for value in (b"", b"a b\tc", b"\xc3\xa9", b'"{}"'):
            with self.subTest(value=value):
                self.assertTrue(field_values.are_valid([(b"x", value)]))

    def test_control_characters_are_invalid(self):
        allowed = {0x09}
        for code in {*range(0x20), 0x7F} - allowed:
            with self.subTest(code=code):
                fields = [(b"x", b"a"), (b"y", b"a%cb" % code)]
                self.assertFalse(field_values.are_valid(fields))


if __name__ == "__main__":
    unittest.main()
