"""Tests of the separation of JSON into its parts."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from bronzeslip.decoding import errors
from bronzeslip.decoding import json_parts

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
)
_LAYOUTS = strategies.sampled_from(
    [{}, {"indent": 2}, {"separators": (",", ":")}, {"ensure_ascii": False}]
)

_SETTINGS = hypothesis.settings(
    max_examples=50, deadline=None, derandomize=True, database=None
)


class ElementsTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(strategies.lists(_JSON), _LAYOUTS)
    def test_elements_of_any_array_are_separated(self, array, layout):
        parts = json_parts.elements(json.dumps(array, **layout).encode())
        self.assertEqual([json.loads(part) for part in parts], array)

    def test_undecodable_elements_leave_the_others(self):
        deep = b"[" * 100_000 + b"]" * 100_000
        odd = (
            b"NaN",
            b'"\xff"',
            b'"],[\\""',
            deep,
            b"[}",
            b"",
            b'{"a":%s}' % deep,
        )
        for element in odd:
            with self.subTest(element=element[:20]):
                parts = json_parts.elements(b'["a",%s,{"b":[1,2]}]' % element)
                self.assertEqual(parts, [b'"a"', element, b'{"b":[1,2]}'])

    def test_mismatched_brackets_and_strings_raise(self):
        for data in (b"", b"[", b"{}", b"7", b"[[]", b"[]]", b'["]', b"[][]"):
            with (
                self.subTest(data=data),
                self.assertRaises(errors.UndecodableError),
            ):
                json_parts.elements(data)


class MembersTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(
        strategies.dictionaries(strategies.text(), _JSON), _LAYOUTS
    )
    def test_members_of_any_object_are_separated(self, document, layout):
        parts = json_parts.members(json.dumps(document, **layout).encode())
        self.assertEqual(
            {name: json.loads(part) for name, part in parts.items()}, document
        )

    def test_members_without_a_decodable_name_are_left_out(self):
        parts = json_parts.members(b'{"a":1,"\xff":2,7:3,,"b" : [4]}')
        self.assertEqual(parts, {"a": b"1", "b": b" [4]"})


if __name__ == "__main__":
    unittest.main()
