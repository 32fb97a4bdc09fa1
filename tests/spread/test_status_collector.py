"""Tests of merging configuration summaries."""

import unittest

from bronzeslip.spread import status_aggregator
from bronzeslip.spread import status_collector
from bronzeslip.transport.frames import spread as frames


def summary(counts, gateways, laggards=(), domain="domain-1"):
    return (frames.DomainSummary(domain, counts, laggards, gateways),)


class StatusCollectorTest(unittest.TestCase):
    def test_gateway_reported_by_a_relay_is_counted_once(self):
        reports = {
            "lower": summary({3: 2}, ("lower",)),
            "upper": summary({3: 5}, ("upper", "lower")),
            "other": summary({3: 4}, ("other",)),
            "silent": (),
        }
        (merged,) = status_collector.merge_distinct(reports)
        self.assertEqual(merged.counts, {3: 9})

    def test_laggards_are_below_the_highest_number_of_all_domains(self):
        lagging = (frames.Laggard("vm-1", 3),)
        current = (frames.Laggard("vm-2", 4),)
        merged = status_aggregator.merge(
            [
                summary({3: 1}, (), lagging),
                summary({4: 1}, (), current, domain="domain-2"),
            ]
        )
        self.assertEqual([entry.laggards for entry in merged], [lagging, ()])


if __name__ == "__main__":
    unittest.main()
