"""Tests of bronzeslip.platform.process_limits."""

import unittest

from bronzeslip.entry import vm_config
from bronzeslip.platform import process_limits


class ProcessLimitsTest(unittest.TestCase):
    def test_limits_are_decoded(self):
        self.assertEqual(
            process_limits.decode({"memory_mb": 150, "max_fds": 4100}),
            vm_config.ProcessLimits(150_000_000, 4100),
        )
        self.assertEqual(
            process_limits.decode({"memory_mb": 87.5}),
            vm_config.ProcessLimits(87_500_000, None),
        )

    def test_what_cannot_be_read_is_no_limit(self):
        for table in (
            None,
            "150",
            [150],
            {},
            {"memory_mb": "150", "max_fds": True},
            {"memory_mb": float("nan"), "max_fds": -1},
            {"memory_mb": float("inf"), "max_fds": 0},
            {"memory_mb": 10**4000, "max_fds": {}},
        ):
            with self.subTest(table=str(table)[:50]):
                self.assertEqual(
                    process_limits.decode(table), vm_config.ProcessLimits()
                )
