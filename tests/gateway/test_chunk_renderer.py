"""Tests of the rendering of chunks."""

import unittest

from hypothesis import given
from hypothesis import strategies

from bronzeslip import ids
from bronzeslip.gateway import chunk_renderer
from bronzeslip.gateway import response_builder

_BUILDERS = (
    response_builder.ChatResponseBuilder,
    response_builder.CompletionResponseBuilder,
)


class ChunkRendererTest(unittest.TestCase):
    @given(strategies.text(), strategies.booleans())
    def test_renders_the_chunk_of_the_builder(self, text, is_first):
        for builder_type in _BUILDERS:
            builder = builder_type(ids.RequestId("r"), 'model "x"')
            rendered = chunk_renderer.ChunkRenderer(builder).render(
                text, "7.a", is_first
            )
            chunk = chunk_renderer.encode_event(builder.chunk(text, is_first))
            self.assertEqual(rendered, b"id: 7.a\n" + chunk)
