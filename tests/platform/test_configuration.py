"""Tests of bronzeslip.platform.configuration."""

import unittest

import msgspec

from bronzeslip.platform import configuration
from bronzeslip.platform import errors
from bronzeslip.routes import kind

_ROUTE = {
    "name": "r-1",
    "host": "Host.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 6000,
    "goal_ms": 1500,
    "priority": 1,
    "service": "s-1",
    "max_attempts": 1,
    "public": False,
    "sticky": True,
    "resumable": False,
    "gap_aim_ms": 180,
}


def _document(**changes):
    values = {
        "version": 7,
        "routes": [_ROUTE],
        "services": [
            {
                "name": "s-1",
                "health_path": "/health",
                "max_conns": 282,
                "protocol": "h1",
                "engine": {
                    "slots": 24,
                    "kv_capacity": 34392,
                    "kv_token_bytes": 163840,
                    "link_mbps": 24000.0,
                    "moves": True,
                    "backups": True,
                    "handle_s": 5.0,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 100,
            "max_body_bytes": 200,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
    }
    return msgspec.Raw(msgspec.json.encode({**values, **changes}))


class DecodeTest(unittest.TestCase):
    def test_units_are_converted(self):
        table = configuration.decode(_document())
        route = table.match("host.example", "/a/x")
        self.assertEqual(table.version, 7)
        self.assertEqual(route.timeout_s, 6.0)
        self.assertEqual(route.objective_s, 1.5)
        self.assertEqual(route.gap_objective_s, 0.18)
        self.assertIs(route.kind, kind.RequestKind.STREAM)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)
        engine = table.service("s-1").engine
        self.assertEqual(engine.memory_tokens, 34392)
        self.assertTrue(engine.can_move)

    def test_all_keys_of_a_workspace_are_accepted(self):
        table = configuration.decode(_document())
        for key in ("k1", "k2"):
            self.assertEqual(table.workspace_of(key).workspace_id, "t")

    def test_split_names_services_and_weights(self):
        split = [
            {"service": "s-1", "weight": 90},
            {"service": "s-2", "weight": 10},
        ]
        route = {key: _ROUTE[key] for key in _ROUTE if key != "service"}
        table = configuration.decode(
            _document(routes=[{**route, "split": split}])
        )
        shares = table.match("host.example", "/a/").services
        self.assertEqual([share.weight for share in shares], [90, 10])

    def test_unknown_kinds_are_never_retried(self):
        table = configuration.decode(
            _document(routes=[{**_ROUTE, "kind": "new"}])
        )
        matched = table.match("host.example", "/a/")
        self.assertIs(matched.kind, kind.RequestKind.AT_MOST_ONCE)

    def test_without_tenants_no_keys_are_required(self):
        self.assertFalse(
            configuration.decode(_document(tenants=None)).has_workspaces
        )

    def test_invalid_documents_raise(self):
        with self.assertRaises(errors.ConfigurationError):
            configuration.decode(_document(version="seven"))
