"""Deletes claims that are older than the retention period."""

import asyncio
from collections.abc import Callable
import random
import time

from bronzeslip import logs
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors
from bronzeslip.claims import store
from bronzeslip.membership import directory
from bronzeslip.membership import rendezvous
from bronzeslip.settings import gateway
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors

logger = logs.get_logger(__name__)

_SHARD_DELAY_S = 0.05


class ClaimSweeper:
    """Sweeps the claim shards assigned to this gateway.

    Two gateways that sweep the same shard only waste calls, since each
    deletion is conditional on the version that was read.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        platform: client.PlatformClient,
        members: directory.MemberDirectory,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a sweeper.

        Args:
            settings: Retention, interval and VM id.
            platform: Client of the platform.
            members: Known gateways, among which the shards are distributed.
            wall_clock: Clock that timestamps claims, in seconds.
        """
        self._settings = settings
        self._platform = platform
        self._store = store.ClaimStore(platform)
        self._members = members
        self._wall_clock = wall_clock

    async def run(self) -> None:
        """Sweeps periodically until cancelled."""
        while True:
            interval_s = self._settings.claim_sweep_interval_s
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.0))
            await self.sweep()

    async def sweep(self) -> int:
        """Sweeps the shards of this gateway once.

        Returns:
            Number of claims deleted.
        """
        deleted = 0
        for shard in range(claims.SHARD_COUNT):
            if not self._owns_shard(shard):
                continue
            try:
                deleted += await self._sweep_shard(shard)
            except platform_errors.PlatformError as error:
                logger.warning(
                    "claims.sweep_failed", shard=shard, reason=error.message
                )
                break
            await asyncio.sleep(_SHARD_DELAY_S)
        return deleted

    def _owns_shard(self, shard: int) -> bool:
        vm_ids = {record.vm_id for record in self._members.gateways()}
        vm_ids.add(self._settings.vm_id)
        ranked = rendezvous.ranked(sorted(vm_ids), str, str(shard))
        return ranked[0] == self._settings.vm_id

    async def _sweep_shard(self, shard: int) -> int:
        listed = await self._platform.list_objects(claims.shard_prefix(shard))
        deleted = 0
        for found in listed.objects:
            try:
                stored = store.decode(found)
                if self._is_expired(stored.claim):
                    await self._store.release(stored)
                    deleted += 1
            except errors.ClaimError as error:
                logger.warning(
                    "claims.not_swept", key=found.key, reason=error.message
                )
        return deleted

    def _is_expired(self, claim: claims.Claim) -> bool:
        age_s = self._wall_clock() - claim.claimed_unix_s
        return age_s > self._settings.claim_retention_s
