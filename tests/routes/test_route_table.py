"""Tests of bronzeslip.routes.route_table and bronzeslip.routes.current."""

import unittest

from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        create = forwarding_parts.create_route
        self.table = forwarding_parts.create_table(
            create(kind.RequestKind.STREAM, path_prefix="/a/"),
            create(kind.RequestKind.IDEMPOTENT, path_prefix="/a/b/"),
            create(kind.RequestKind.AT_MOST_ONCE, host="other.example"),
        )

    def test_longest_prefix_matches_the_path(self):
        self.assertEqual(
            self.table.match("h.example", "/a/b/c").path_prefix, "/a/b/"
        )
        self.assertEqual(
            self.table.match("H.Example", "/a/bc").path_prefix, "/a/"
        )

    def test_routes_of_other_hosts_do_not_match(self):
        self.assertIsNone(self.table.match("other.example", "/a/b/c"))
        self.assertIsNone(self.table.match("h.example", "/a"))

    def test_key_belongs_to_its_workspace_only(self):
        workspace = self.table.workspace_of(forwarding_parts.API_KEY)
        self.assertEqual(workspace.workspace_id, "w")
        self.assertIsNone(
            self.table.workspace_of(forwarding_parts.API_KEY + "x")
        )


class CurrentTableTest(unittest.TestCase):
    def test_older_versions_are_never_adopted(self):
        current_table = current.CurrentTable()
        newer = forwarding_parts.create_table(version=7)
        self.assertTrue(current_table.adopt(newer))
        self.assertFalse(
            current_table.adopt(forwarding_parts.create_table(version=6))
        )
        self.assertIs(current_table.table, newer)
