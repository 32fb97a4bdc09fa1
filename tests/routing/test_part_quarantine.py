"""Tests of bronzeslip.routing.part_quarantine."""

import types
import unittest

import msgspec

from bronzeslip.routing import part_quarantine
from bronzeslip.routing import part_record

_TTL_S = 1000.0


class PartQuarantineTest(unittest.TestCase):
    def setUp(self):
        self.now_unix_s = 10_000.0
        self.first = self._create()
        self.second = self._create()

    def _create(self):
        settings = types.SimpleNamespace(vm_id="g", suspect_ttl_s=_TTL_S)
        return part_quarantine.PartQuarantine(settings, lambda: self.now_unix_s)

    def _pass_on(self, source, target, key="other"):
        content = msgspec.json.encode(source.own_record())
        target.records.apply(
            key, msgspec.json.decode(content, type=part_record.PartRecord)
        )

    def _add_crashes(self, quarantine, *crash_ids, prompt="px"):
        for crash_id in crash_ids:
            quarantine.add_crash(crash_id, [frozenset(prompt)])

    def _is_quarantined(self, quarantine, prompt="px"):
        return bool(quarantine.find(prompt))

    def test_two_crashes_quarantine_the_parts_that_they_share(self):
        self.first.add_crash("c1", [frozenset("pax")])
        self.assertFalse(self._is_quarantined(self.first, "pax"))
        self.first.add_crash("c2", [frozenset("pbx")])
        self.assertTrue(self._is_quarantined(self.first, "pcx"))
        self.assertFalse(self._is_quarantined(self.first, "pa"))

    def test_crashes_of_two_gateways_add_up(self):
        self._add_crashes(self.first, "c1")
        self._add_crashes(self.second, "c2")
        self._pass_on(self.first, self.second)
        self.assertTrue(self._is_quarantined(self.second))

    def test_one_crash_seen_by_two_gateways_counts_once(self):
        self._add_crashes(self.first, "c1")
        self._add_crashes(self.second, "c1")
        self._pass_on(self.first, self.second)
        self.assertFalse(self._is_quarantined(self.second))

    def test_part_answered_before_the_crash_is_sound(self):
        self.first.add_answered(frozenset("p"))
        self._add_crashes(self.first, "c1", "c2", prompt="p")
        self.assertFalse(self._is_quarantined(self.first, "p"))

    def test_part_answered_long_before_the_crash_may_have_turned_poison(self):
        self.first.add_answered(frozenset("p"))
        self.now_unix_s += 60
        self._add_crashes(self.first, "c1", "c2", prompt="p")
        self.assertTrue(self._is_quarantined(self.first, "p"))

    def test_answer_at_another_gateway_releases_a_part(self):
        self._add_crashes(self.first, "c1", "c2")
        self._pass_on(self.first, self.second)
        self.assertTrue(self.second.add_answered(frozenset("p")))
        self._pass_on(self.second, self.first)
        self.assertFalse(self._is_quarantined(self.first, "p"))
        self.assertTrue(self._is_quarantined(self.first, "ax"))

    def test_answer_is_published_once_for_a_crash(self):
        self.assertFalse(self.first.add_answered(frozenset("p")))
        self._add_crashes(self.second, "c1")
        self._pass_on(self.second, self.first)
        self.assertTrue(self.first.add_answered(frozenset("p")))
        self.assertFalse(self.first.add_answered(frozenset("p")))

    def test_evidence_expires(self):
        self._add_crashes(self.first, "c1", "c2")
        self._pass_on(self.first, self.second)
        self.assertFalse(self.second.records.is_expired("other"))
        self.now_unix_s += _TTL_S + 1
        self.assertFalse(self._is_quarantined(self.second))
        self.assertTrue(self.second.records.is_expired("other"))
        self.assertEqual(self.first.own_record().crashes, {})

    def test_evidence_is_kept_while_prompts_with_the_parts_come(self):
        self._add_crashes(self.first, "c1", "c2")
        self._pass_on(self.first, self.second)
        (poison,) = self.second.find("px")
        self.assertFalse(self.second.renew(poison))
        self.now_unix_s += 0.9 * _TTL_S
        self.assertTrue(self.second.renew(poison))
        self.assertFalse(self.second.renew(poison))
        self.now_unix_s += 0.9 * _TTL_S
        self.assertTrue(self._is_quarantined(self.second))

    def test_renewed_evidence_keeps_the_time_of_the_crash(self):
        self._add_crashes(self.first, "c1", "c2")
        (poison,) = self.first.find("px")
        before = self.first.crash_times_unix_s(poison)
        self.now_unix_s += 0.9 * _TTL_S
        self.first.renew(poison)
        self.assertEqual(self.first.crash_times_unix_s(poison), before)

    def test_restarted_gateway_restores_its_record(self):
        self._add_crashes(self.first, "c1", "c2")
        restarted = self._create()
        restarted.records.restore_own(self.first.own_record())
        self.assertTrue(self._is_quarantined(restarted))

    def test_removed_record_no_longer_counts(self):
        self._add_crashes(self.first, "c1", "c2")
        self._pass_on(self.first, self.second)
        self.second.records.drop("other")
        self.assertFalse(self._is_quarantined(self.second))

    def test_record_is_bounded(self):
        for number in range(200):
            self.now_unix_s += 1
            prompts = [frozenset((f"{number}-{i}", "p")) for i in range(100)]
            self.first.add_crash(f"c{number}", prompts)
        content = msgspec.json.encode(self.first.own_record())
        self.assertLess(len(content), 100_000)
        self.assertIn("c199", self.first.own_record().crashes)


if __name__ == "__main__":
    unittest.main()
