"""Tests that the scenarios in deploy/days cover every kind of fault."""

import itertools
import pathlib
import tomllib
import unittest

_DAYS_DIRECTORY = pathlib.Path(__file__).parents[2] / "deploy" / "days"
_STORE_FAULTS = (
    "platform_compact",
    "platform_down",
    "platform_lost",
    "platform_slow",
)
_ENGINE_FAULTS = (
    "answer_lost",
    "garble",
    "release",
    "replace_with_reuse",
    "scale_in",
    "srv_crash",
    "srv_cut",
    "srv_flap",
    "srv_grey",
    "srv_slow",
)
_OTHER_FAULTS = (
    "add_nodes",
    "after_ack_kill",
    "big_config",
    "burst",
    "clock_step",
    "config_change",
    "config_storm",
    "core_cut",
    "give_up",
    "herd_kill",
    "hot_key",
    "hup",
    "lossy",
    "node_cut",
    "node_freeze",
    "node_kill",
    "node_slow",
    "reset_conns",
    "retry_abuse",
    "revoke",
    "roll_term",
    "scale_out",
    "shift",
)
# Duration of a fault that does not state one.
_DEFAULT_DURATION_S = 5.0


class _ScheduledFault:
    def __init__(self, entry):
        self.kind = entry["kind"]
        self.start_s = entry["at"]
        self.end_s = entry["at"] + entry.get("for_s", _DEFAULT_DURATION_S)

    def overlaps(self, other):
        return self.start_s < other.end_s and other.start_s < self.end_s


def _read_faults(path):
    day = tomllib.loads(path.read_text())
    entries = (*day.get("plan", ()), *day.get("faults", ()))
    return [_ScheduledFault(entry) for entry in entries]


class DaysTest(unittest.TestCase):
    def setUp(self):
        self.days = {
            path.stem: _read_faults(path)
            for path in _DAYS_DIRECTORY.glob("*.toml")
        }

    def test_day_names_match_their_files(self):
        for path in _DAYS_DIRECTORY.glob("*.toml"):
            with self.subTest(path=path.name):
                day = tomllib.loads(path.read_text())
                self.assertEqual(day["name"], path.stem)

    def test_every_fault_is_scheduled_on_some_day(self):
        scheduled_kinds = {
            fault.kind for day in self.days.values() for fault in day
        }
        expected_kinds = {*_STORE_FAULTS, *_ENGINE_FAULTS, *_OTHER_FAULTS}
        self.assertEqual(expected_kinds - scheduled_kinds, set())

    def test_every_store_fault_overlaps_every_engine_fault(self):
        overlapping_pairs = {
            (store.kind, engine.kind)
            for day in self.days.values()
            for store, engine in itertools.product(day, day)
            if store.overlaps(engine)
        }
        expected_pairs = set(itertools.product(_STORE_FAULTS, _ENGINE_FAULTS))
        self.assertEqual(expected_pairs - overlapping_pairs, set())
