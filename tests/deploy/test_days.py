"""Days of deploy/days: together they bring every trouble there is."""

import itertools
import pathlib
import tomllib
import unittest

_DAYS = pathlib.Path(__file__).parents[2] / "deploy" / "days"
_STORE_TROUBLES = (
    "platform_compact",
    "platform_down",
    "platform_lost",
    "platform_slow",
)
_ENGINE_TROUBLES = (
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
_OTHER_TROUBLES = (
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
# How long a trouble lasts that names no time.
_USUAL_S = 5.0


class _Trouble:
    def __init__(self, entry):
        self.kind = entry["kind"]
        self.begin_s = entry["at"]
        self.end_s = entry["at"] + entry.get("for_s", _USUAL_S)

    def overlaps(self, other):
        return self.begin_s < other.end_s and other.begin_s < self.end_s


def _read(path):
    day = tomllib.loads(path.read_text())
    entries = (*day.get("plan", ()), *day.get("faults", ()))
    return [_Trouble(entry) for entry in entries]


class DaysTest(unittest.TestCase):
    def setUp(self):
        self.days = {path.stem: _read(path) for path in _DAYS.glob("*.toml")}

    def test_files_name_their_days(self):
        for path in _DAYS.glob("*.toml"):
            with self.subTest(path=path.name):
                day = tomllib.loads(path.read_text())
                self.assertEqual(day["name"], path.stem)

    def test_every_trouble_comes_on_some_day(self):
        seen = {trouble.kind for day in self.days.values() for trouble in day}
        wanted = {*_STORE_TROUBLES, *_ENGINE_TROUBLES, *_OTHER_TROUBLES}
        self.assertEqual(wanted - seen, set())

    def test_store_and_engines_are_in_trouble_at_once_in_every_pair(self):
        met = {
            (store.kind, engine.kind)
            for day in self.days.values()
            for store, engine in itertools.product(day, day)
            if store.overlaps(engine)
        }
        pairs = set(itertools.product(_STORE_TROUBLES, _ENGINE_TROUBLES))
        self.assertEqual(pairs - met, set())
