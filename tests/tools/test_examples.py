"""Tests of the example declarations of both users."""

import unittest

from bronzeslip.cli import declarations as declaration_reader
from tools import declarations
from tools import demo
from tools import shapes


class ExamplesTest(unittest.TestCase):
    def test_examples_match_the_deployment_shapes(self):
        for shape in (shapes.MIDLANDS, shapes.MONGOLIA):
            with self.subTest(name=shape.name):
                read = declaration_reader.read([demo.examples_folder(shape)])
                services = {shape.generation_service, shape.plain_service}
                self.assertEqual(set(read.services), services)
                self.assertEqual(
                    set(read.pools), {shape.engine_pool, shape.plain_pool}
                )
                self.assertLessEqual(
                    set(shape.workspaces), set(read.workspaces)
                )
                self.assertFalse(read.services[shape.plain_service].idempotent)

    def test_declared_digests_match_the_trial_credentials(self):
        for shape in (shapes.MIDLANDS, shapes.MONGOLIA):
            read = declaration_reader.read([demo.examples_folder(shape)])
            for name, declared in read.workspaces.items():
                credential = declarations.credential_of(name)
                self.assertEqual(
                    declared.credentials_sha256,
                    (declarations.digest_of(credential),),
                )


if __name__ == "__main__":
    unittest.main()
