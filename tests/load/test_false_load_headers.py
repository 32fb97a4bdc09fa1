"""Tests of plain calls beside load headers that lie or stop coming."""

import contextlib
import unittest

from bronzeslip.routes import kind
from tests.load import load_case
from tests.support import forwarding_parts


class FalseLoadHeaderTest(load_case.LoadCase):
    def _calls(self):
        """Returns the number of requests that are counted at a desk."""
        call = forwarding_parts.admit(
            forwarding_parts.create_request(), kind.RequestKind.IDEMPOTENT
        )
        forecast = self.forecaster.forecast(self.desks[0], call)
        return round(forecast.slot_load * self.desks[0].slots) - 1

    async def test_calls_of_other_gateways_count(self):
        self.state(self.desks[0], 1.0, running=5, waiting=3)
        with self.track("r1", "desk-one"):
            self.assertEqual(self._calls(), 9)

    # Guards against a header of zeros that attracts every call.
    async def test_header_of_an_endpoint_that_claims_to_be_idle(self):
        with contextlib.ExitStack() as stack:
            for name in ("r1", "r2", "r3"):
                stack.enter_context(self.track(name, "desk-one"))
            self.state(self.desks[0], 1.0)
            self.assertEqual(self._calls(), 3)

    # Guards against an endpoint that gets no calls any more because the last
    # header that it sent stated a high load.
    async def test_header_that_stops_coming(self):
        self.state(self.desks[0], 1.0, running=900, age_s=0.5)
        self.assertEqual(self._calls(), 0)

    async def test_header_without_pace_is_not_used(self):
        self.state(self.desks[0], None, running=5)
        self.assertEqual(self._calls(), 0)

    async def test_absurd_load_does_not_end_the_choice(self):
        for desk in self.desks:
            self.state(desk, 10.0, running=2**53, waiting=2**53)
        call = forwarding_parts.admit(
            forwarding_parts.create_request(), kind.RequestKind.IDEMPOTENT
        )
        chosen = self.components.endpoint_chooser.choose(call, set())
        self.assertIn(chosen, self.desks)


if __name__ == "__main__":
    unittest.main()
