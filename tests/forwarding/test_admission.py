"""Tests of bronzeslip.forwarding.admission."""

import random
import unittest

from bronzeslip.forwarding import admission
from bronzeslip.forwarding import errors
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def _admit(self, *routes, **changes):
        in_force = current.CurrentTable()
        if routes:
            in_force.adopt(forwarding_parts.create_table(*routes))
        admitting = admission.Admission(
            forwarding_parts.SETTINGS, in_force, random.Random(1)
        )
        return admitting.admit(forwarding_parts.create_request(**changes))

    def _route(self, **changes):
        return forwarding_parts.create_route(
            kind.RequestKind.IDEMPOTENT, **changes
        )

    async def test_before_any_configuration_nothing_is_denied(self):
        with self.assertRaises(errors.NotRunError) as caught:
            self._admit()
        self.assertIsNotNone(caught.exception.retry_after_s)

    async def test_unknown_route_and_unknown_key_are_told_apart(self):
        with self.assertRaises(errors.UnknownRouteError):
            self._admit(self._route(), path="/other/")
        for key in (None, "", "wrong"):
            with (
                self.subTest(key=key),
                self.assertRaises(errors.UnknownKeyError),
            ):
                self._admit(self._route(), key=key)

    async def test_public_route_needs_no_key(self):
        allowed = self._admit(self._route(is_public=True), key=None)
        self.assertIsNone(allowed.workspace_id)

    async def test_deadline_is_the_shorter_of_callers_and_routes(self):
        for patience_s, timeout_s, expected_s in (
            (1.0, 5.0, 1.0),
            (9.0, 5.0, 5.0),
        ):
            allowed = self._admit(
                self._route(timeout_s=timeout_s), patience_s=patience_s
            )
            self.assertAlmostEqual(
                allowed.deadline_s - allowed.request.arrived_s, expected_s
            )
