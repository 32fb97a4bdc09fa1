"""Tests that the settings reference matches the settings."""

import unittest

from tools import settings_reference


class SettingsReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual(
            settings_reference.PAGE.read_text(),
            settings_reference.render(),
            "run python -m tools.settings_reference",
        )
