"""Tests of configuration patches against the platform's object API."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.configuration import errors
from bronzeslip.configuration import store
from standins.platform import app
from standins.platform import faults
from tests.support import in_process
from tools import large_configuration


def request(base_number, patch, patch_id=None):
    return store.PatchRequest(
        ids.PatchId(patch_id or ids.random_id()),
        ids.ConfigurationNumber(base_number),
        ids.OperatorName("trial"),
        patch,
    )


def workspace_patch(name, weight=1.0):
    return {"workspaces": {name: large_configuration.workspace(name, weight)}}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = app.PlatformStandin()
        self.stores = [self.create_store(), self.create_store()]

    def create_store(self):
        created = in_process.create_platform_client(self.standin)
        self.addAsyncCleanup(created.close)
        return store.ConfigurationStore(created)

    async def test_one_of_two_racing_patches_is_accepted(self):
        for base in range(5):
            outcomes = await asyncio.gather(
                *(
                    racing_store.apply(
                        request(base, workspace_patch(f"w-{base}-{index}"))
                    )
                    for index, racing_store in enumerate(self.stores)
                ),
                return_exceptions=True,
            )
            stale = [
                outcome
                for outcome in outcomes
                if isinstance(outcome, errors.StaleConfigurationError)
            ]
            accepted = [outcome for outcome in outcomes if outcome not in stale]
            self.assertEqual(
                [error.current_number for error in stale], [base + 1]
            )
            self.assertEqual(
                [applied.number for applied in accepted], [base + 1]
            )
        current = await self.stores[0].read()
        self.assertEqual(current.number, 5)
        self.assertEqual(len(current.document.workspaces), 5)

    async def test_lost_answer_after_commit_is_recognised(self):
        self.standin.faults = faults.Faults(faults.FaultMode.LOST_ANSWER)
        accepted = await self.stores[0].apply(request(0, workspace_patch("a")))
        self.assertEqual(accepted.number, 1)
        self.assertEqual((await self.stores[1].read()).number, 1)

    async def test_unknown_outcome_is_reported_and_resubmitted(self):
        patch_request = request(0, workspace_patch("a"))
        put = self.standin.store.put

        async def put_then_outage(key, value, expected):
            stored = await put(key, value, expected)
            if key == "configuration/current":
                self.standin.faults = faults.Faults(faults.FaultMode.OUTAGE)
                raise ConnectionResetError
            return stored

        self.standin.store.put = put_then_outage
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.stores[0].apply(patch_request)
        self.standin.store.put = put
        self.standin.faults = faults.Faults()
        accepted = await self.stores[1].apply(patch_request)
        self.assertEqual(accepted.number, 1)
        self.assertEqual((await self.stores[1].read()).number, 1)

    async def test_resubmitted_after_many_patches(self):
        first = request(0, workspace_patch("a"))
        await self.stores[0].apply(first)
        for base in range(1, 150):
            await self.stores[base % 2].apply(
                request(base, workspace_patch("b", weight=base + 1.0))
            )
        for resubmitting in (*self.stores, self.create_store()):
            accepted = await resubmitting.apply(first)
            self.assertEqual(accepted.number, 1)
        with self.assertRaises(errors.StaleConfigurationError):
            await self.stores[0].apply(request(0, workspace_patch("c")))
        current = await self.stores[0].read()
        self.assertEqual(current.number, 150)
        self.assertEqual(current.document.workspaces["b"].weight, 150.0)

    async def test_invalid_patch_changes_nothing(self):
        with self.assertRaisesRegex(errors.InvalidDocumentError, "weight"):
            await self.stores[0].apply(
                request(0, workspace_patch("a", weight=-1.0))
            )
        self.assertEqual((await self.stores[0].read()).number, 0)

    async def test_full_size_configuration(self):
        await self.stores[0].apply(request(0, large_configuration.document()))
        await self.stores[1].apply(
            request(1, workspace_patch("workspace-7", weight=3.0))
        )
        await self.stores[0].apply(
            request(
                2,
                {
                    "workspaces": {
                        "extra": large_configuration.workspace("extra")
                    }
                },
            )
        )
        current = await self.create_store().read()
        self.assertEqual(
            len(current.document.workspaces),
            large_configuration.WORKSPACE_COUNT + 1,
        )
        self.assertEqual(current.document.workspaces["workspace-7"].weight, 3.0)


if __name__ == "__main__":
    unittest.main()
