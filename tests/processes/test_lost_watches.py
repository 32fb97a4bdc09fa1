"""Tests of gateways whose watches the store never answers, as processes.

A store, or a proxy before it, may forget a call that waits. Its connection
stays open and answers keep-alive probes, and all other calls are answered.
"""

import re
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

# From the settings file of the gateways.
_CONFIG_S = 4.0
_CONTACT_S = 4.0
_DRAIN_S = 2.5
_POLL_S = 0.05
_BOUNDS_S = {
    ("configuration", "config"): _CONFIG_S,
    ("endpoints", "servers"): _DRAIN_S,
    ("evacuations", "evacuations"): _CONTACT_S,
    ("suspects", "bronzeslip-suspects"): _CONTACT_S,
}
_NEW_PATH = "/new/"


class LostWatchTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment(has_regions=True)
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways

    def _age_s(self, followed):
        match = re.search(
            rf'^bronzeslip_followed_age_seconds{{followed="{followed}"}} (.+)$',
            self.gateway.fetch_metrics(),
            re.MULTILINE,
        )
        return float(match[1])

    def _confirmation_time_s(self, followed, since_s):
        """Returns the time until something is known to be up to date."""

        def is_confirmed():
            elapsed_s = time.monotonic() - since_s
            return 0 <= self._age_s(followed) < elapsed_s - _POLL_S

        wait.until(is_confirmed, timeout_s=30.0)
        return time.monotonic() - since_s

    # Guards against a version, evacuation, suspect or leaving endpoint that
    # stays unknown for as long as a forgotten watch may wait.
    def test_everything_followed_is_confirmed_within_its_bound(self):
        for (followed, kind), bound_s in _BOUNDS_S.items():
            with self.subTest(followed):
                lost_s = time.monotonic()
                self.deployment.lose_watches(kind)
                self.assertLess(
                    self._confirmation_time_s(followed, lost_s), bound_s
                )

    # Guards against serving by an old version for as long as that.
    def test_version_written_meanwhile_is_in_force_in_time(self):
        route = {
            **entry_configuration.configuration(2)["routes"][1],
            "name": "new",
            "path_prefix": _NEW_PATH,
        }
        self.deployment.lose_watches("config")
        self.deployment.put_object(
            "config", "main", self.deployment.configuration(2, route)
        )
        written_s = time.monotonic()
        wait.until(
            lambda: (
                self.gateway.call("probe", _NEW_PATH).status_code
                == httpx.codes.OK
            ),
            timeout_s=30.0,
        )
        self.assertLess(time.monotonic() - written_s, _CONFIG_S)


if __name__ == "__main__":
    unittest.main()
