"""Tests of rendering chunks."""

import unittest

from hypothesis import given
from hypothesis import strategies

from bronzeslip import ids
from bronzeslip.gateway import answer_format
from bronzeslip.gateway import chunk_renderer

_FORMS = (answer_format.ChatFormat, answer_format.CompletionFormat)


class ChunkRendererTest(unittest.TestCase):
    @given(strategies.text(), strategies.booleans())
    def test_is_the_chunk_that_the_format_builds(self, text, is_first):
        for form_type in _FORMS:
            form = form_type(ids.RequestId("r"), 'model "x"')
            rendered = chunk_renderer.ChunkRenderer(form).render(
                text, "7.a", is_first
            )
            chunk = chunk_renderer.event(form.chunk(text, is_first))
            self.assertEqual(rendered, b"id: 7.a\n" + chunk)
