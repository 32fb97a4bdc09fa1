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
        current_table = current.CurrentTable()
        if routes:
            current_table.adopt(forwarding_parts.create_table(*routes))
        admitter = admission.Admission(
            forwarding_parts.SETTINGS, current_table, random.Random(1)
        )
        return admitter.admit(forwarding_parts.create_request(**changes))

    def _route(self, **changes):
        return forwarding_parts.create_route(
            kind.RequestKind.IDEMPOTENT, **changes
        )

    async def test_missing_configuration_raises_not_run_error(self):
        with self.assertRaises(errors.NotRunError) as caught:
            self._admit()
        self.assertIsNotNone(caught.exception.retry_after_s)

    async def test_unknown_route_and_unknown_key_raise_different_errors(self):
        with self.assertRaises(errors.UnknownRouteError):
            self._admit(self._route(), path="/other/")
        for key in (None, "", "wrong"):
            with (
                self.subTest(key=key),
                self.assertRaises(errors.UnknownKeyError),
            ):
                self._admit(self._route(), key=key)

    async def test_public_route_needs_no_key(self):
        admitted_request = self._admit(self._route(is_public=True), key=None)
        self.assertIsNone(admitted_request.workspace_id)

    async def test_deadline_is_the_shorter_of_caller_and_route_timeout(self):
        for caller_timeout_s, timeout_s, expected_s in (
            (1.0, 5.0, 1.0),
            (9.0, 5.0, 5.0),
        ):
            admitted_request = self._admit(
                self._route(timeout_s=timeout_s),
                caller_timeout_s=caller_timeout_s,
            )
            self.assertAlmostEqual(
                admitted_request.deadline_s
                - admitted_request.request.arrived_s,
                expected_s,
            )

    def _admit_restricted(self, route_regions, workspace_regions):
        current_table = current.CurrentTable()
        current_table.adopt(
            forwarding_parts.create_table(
                self._route(permitted_regions=route_regions),
                workspace_regions=workspace_regions,
            )
        )
        admitter = admission.Admission(
            forwarding_parts.SETTINGS, current_table, random.Random(1)
        )
        return admitter.admit(forwarding_parts.create_request())

    async def test_regions_of_route_and_workspace_both_apply(self):
        first, both = frozenset({"a"}), frozenset({"a", "b"})
        for route_regions, workspace_regions, expected in (
            (None, None, None),
            (both, None, both),
            (None, first, first),
            (both, first, first),
        ):
            admitted_request = self._admit_restricted(
                route_regions, workspace_regions
            )
            self.assertEqual(admitted_request.permitted_regions, expected)

    async def test_no_common_region_raises_at_once(self):
        with self.assertRaises(errors.NoEligibleEndpointError) as caught:
            self._admit_restricted(frozenset({"a"}), frozenset({"b"}))
        self.assertGreater(caught.exception.retry_after_s, 0.0)
