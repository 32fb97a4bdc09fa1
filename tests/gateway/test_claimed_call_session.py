"""Tests of outcomes that random interleavings in test_protocol rarely reach."""

import types
import unittest
from unittest import mock

from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors as claim_errors
from bronzeslip.gateway import claimed_call_session
from bronzeslip.gateway import errors
from bronzeslip.transport.frames import call as frames
from bronzeslip.transport.frames import reason

_TICKET = frames.DispatchTicket("incarnation", 1.0)
_ENDPOINT = types.SimpleNamespace(address="a")


class ClaimedCallSessionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = mock.Mock()
        self.store.create = mock.AsyncMock(side_effect=self.create_claim)
        self.store.read = mock.AsyncMock()
        self.store.release = mock.AsyncMock()
        self.dispatcher = mock.Mock()
        self.dispatcher.candidates.return_value = [
            types.SimpleNamespace(endpoint=_ENDPOINT)
        ]
        self.dispatcher.prepare = mock.AsyncMock(
            return_value=frames.CallPrepared("c", _TICKET)
        )
        self.dispatcher.start = mock.AsyncMock(
            return_value=frames.CallRefused(
                "c", reason.RefusalReason.QUEUE_FULL, 7.0
            )
        )

    async def create_claim(self, key, new_claim):
        return claims.StoredClaim(key, 1, new_claim)

    async def run_session(self):
        return await claimed_call_session.ClaimedCallSession(
            self.store,
            mock.Mock(),
            self.dispatcher,
            types.SimpleNamespace(admit=mock.AsyncMock(return_value=True)),
            "key",
            "digest",
        ).run()

    async def test_claim_is_released_before_refusal_is_reported(self):
        with self.assertRaises(errors.NotRunError) as raised:
            await self.run_session()
        self.assertEqual(raised.exception.retry_after_s, 7.0)
        self.store.release.assert_awaited_once()

    async def test_unconfirmed_release_is_not_reported_as_not_run(self):
        self.store.release.side_effect = claim_errors.ClaimsUnavailableError("")
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.run_session()

    async def test_lost_claim_that_cannot_be_read_is_unknown(self):
        self.store.release.side_effect = claim_errors.ClaimTakenError("")
        self.store.read.side_effect = claim_errors.ClaimsUnavailableError("")
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.run_session()


if __name__ == "__main__":
    unittest.main()
