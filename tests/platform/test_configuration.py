"""Tests of bronzeslip.platform.configuration."""

import unittest

import msgspec

from bronzeslip.platform import configuration
from bronzeslip.platform import errors
from bronzeslip.routes import kind
from tests.support import nested_json

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

_LIMITS = {
    "max_header_bytes": 100,
    "max_body_bytes": 200,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
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
        "limits": _LIMITS,
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

    # Guards against staying on an older version because a writer encodes the
    # same values differently.
    def test_null_and_fractional_notation_of_whole_numbers_are_accepted(self):
        optional = dict.fromkeys(
            ("split", "priority", "max_attempts", "resumable", "gap_aim_ms")
        )
        table = configuration.decode(
            _document(
                version=7.0,
                routes=[{**_ROUTE, "timeout_ms": 6e3, **optional}],
                limits={**_LIMITS, "max_body_bytes": 200.0},
                tenants=[{"name": "t", "api_keys": ["k1"], "priority": None}],
            )
        )
        self.assertEqual(table.version, 7)
        route = table.match("host.example", "/a/x")
        self.assertEqual(route.timeout_s, 6.0)
        self.assertEqual(route.max_attempts, 1)
        self.assertEqual(table.limits.max_body_bytes, 200)
        self.assertIsNotNone(table.workspace_of("k1"))

    # Guards against taking an invalid version.
    def test_null_and_fractions_are_not_accepted_for_what_is_required(self):
        invalid = (
            {"version": 7.5},
            {"version": None},
            {"routes": [{**_ROUTE, "host": None}]},
            {"routes": [{**_ROUTE, "max_attempts": "1"}]},
            {"limits": {**_LIMITS, "idle_timeout_ms": 0}},
        )
        for changes in invalid:
            with (
                self.subTest(changes),
                self.assertRaises(errors.ConfigurationError),
            ):
                configuration.decode(_document(**changes))

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

    def test_empty_and_missing_regions_do_not_restrict(self):
        for changes, expected in (
            ({}, None),
            ({"allowed_regions": []}, None),
            ({"allowed_regions": ["a", "b"]}, frozenset({"a", "b"})),
        ):
            with self.subTest(changes=changes):
                table = configuration.decode(
                    _document(
                        routes=[{**_ROUTE, **changes}],
                        tenants=[{"name": "t", "api_keys": ["k"], **changes}],
                    )
                )
                matched = table.match("host.example", "/a/")
                self.assertEqual(matched.permitted_regions, expected)
                self.assertEqual(
                    table.workspace_of("k").permitted_regions, expected
                )
                self.assertEqual(
                    table.named_regions("s-1"), expected or frozenset()
                )

    def test_limits_of_cold_endpoints_are_optional(self):
        for changes, expected in (
            ({}, (0.0, 0.0)),
            ({"cold_s": 1, "cold_per_s": 29}, (1.0, 29.0)),
        ):
            table = configuration.decode(
                _document(services=[{"name": "s-1", **changes}])
            )
            found = table.service("s-1")
            self.assertEqual((found.cold_s, found.cold_per_s), expected)

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

    # Guards against a document whose decoding ends the task that reads it.
    def test_extreme_documents_raise(self):
        document = bytes(_document())[:-1]
        for name, raw in (
            ("nested", document + b',"x":%s}' % bytes(nested_json.OBJECT)),
            ("digits", document + b',"version":%s}' % (b"9" * 5000)),
            ("no UTF-8", document + b',"tenants":[{"name":"\xff"}]}'),
        ):
            with (
                self.subTest(document=name),
                self.assertRaises(errors.ConfigurationError),
            ):
                configuration.decode(msgspec.Raw(raw))

    # Guards against values with which every request of a route fails.
    def test_unusable_values_raise(self):
        share = {"service": "s-1", "weight": 0}
        for changes in (
            {"version": -1},
            {"routes": [{**_ROUTE, "split": [share, share]}]},
            {"routes": [{**_ROUTE, "split": [{**share, "weight": -1}]}]},
            {"routes": [{**_ROUTE, "timeout_ms": 1e300}]},
            {"routes": [{**_ROUTE, "priority": 10**30}]},
            {"services": [{"name": "s-1", "health_path": "/a\r\nb"}]},
            {"services": [{"name": "s-1", "health_path": "@host/"}]},
            {"services": [{"name": "s-1", "cold_per_s": -1}]},
            {"services": [{"name": "s-1", "cold_s": "1"}]},
            {"limits": {**_LIMITS, "max_body_bytes": -1}},
            {"limits": {**_LIMITS, "idle_timeout_ms": 0}},
            {"tenants": [{"name": "a\r\nb"}]},
            {"routes": [{**_ROUTE, "allowed_regions": "a"}]},
            {"routes": [{**_ROUTE, "allowed_regions": [7]}]},
            {"tenants": [{"name": "t", "allowed_regions": {"a": 1}}]},
        ):
            with (
                self.subTest(changes=changes),
                self.assertRaises(errors.ConfigurationError),
            ):
                configuration.decode(_document(**changes))
