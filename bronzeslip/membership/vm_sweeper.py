"""Reconciles member records with the platform's list of VMs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Sequence
import itertools
import random
import time

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.settings import gateway
from bronzeslip.store import client
from bronzeslip.store import errors
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

_ROUNDS_PER_FULL_SWEEP = 12

VmsById = dict[ids.VmId, objects.VmEntry]


class VmSweeper:
    """Removes members on missing VMs and marks those on leaving VMs draining.

    Each failure domain is assigned to the gateway ranked first among those in
    the domain, or among all gateways if it has none. As that gateway may
    itself be missing, every gateway periodically checks all failure domains.
    Concurrent sweeps are safe, since a record is only changed at the version
    and incarnation that was checked.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        platform: client.PlatformClient,
        members: directory.MemberDirectory,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._members = members
        self._missing_since_s: dict[member.Member, float] = {}
        self._assigned: tuple[member.Member, ...] = ()
        self._assigned_at_change = -1

    @property
    def settings(self) -> gateway.GatewaySettings:
        """Settings of the gateway."""
        return self._settings

    async def run(self) -> None:
        """Sweeps periodically until cancelled."""
        for round_number in itertools.count(
            random.randrange(_ROUNDS_PER_FULL_SWEEP)
        ):
            interval_s = self._settings.vm_list_interval_s
            await asyncio.sleep(interval_s * random.uniform(0.75, 1.25))
            all_domains = round_number % _ROUNDS_PER_FULL_SWEEP == 0
            try:
                await self.sweep_once(time.monotonic(), all_domains)
            except errors.PlatformError as error:
                logger.warning("membership.sweep_failed", reason=error.message)

    async def sweep_once(self, now_s: float, all_domains: bool) -> None:
        """Compares the member records with the list of VMs once.

        Args:
            now_s: Time on the monotonic clock, in seconds.
            all_domains: Whether to check all failure domains, not only those
                assigned to this gateway.

        Raises:
            errors.PlatformError: If a request to the platform fails.
        """
        assigned = (
            self._members.members() if all_domains else self._assigned_members()
        )
        if not assigned:
            return
        vms = {entry.vm_id: entry for entry in await self._platform.vms()}
        if not vms:
            return
        await self._remove_missing(assigned, vms, now_s)
        for record in assigned:
            listed = vms.get(record.vm_id)
            if listed is not None and listed.state is objects.VmState.LEAVING:
                await self._mark_draining(record)

    def _assigned_members(self) -> tuple[member.Member, ...]:
        """Returns the members in the domains assigned to this gateway."""
        if self._assigned_at_change != self._members.change_count:
            self._assigned_at_change = self._members.change_count
            self._assigned = self._find_assigned()
        return self._assigned

    def _find_assigned(self) -> tuple[member.Member, ...]:
        members = self._members.members()
        own = {
            domain
            for domain in {found.failure_domain for found in members}
            if self._responsible_gateway(domain) == self._settings.vm_id
        }
        return tuple(found for found in members if found.failure_domain in own)

    def _responsible_gateway(self, domain: ids.FailureDomainName) -> ids.VmId:
        serving = [
            record
            for record in self._members.gateways()
            if record.state is member.MemberState.SERVING
        ]
        local = [
            record for record in serving if record.failure_domain == domain
        ]
        vm_ids = [record.vm_id for record in local or serving]
        return rendezvous.ranked(vm_ids, str, domain)[0] if vm_ids else ""

    async def _remove_missing(
        self, assigned: Sequence[member.Member], vms: VmsById, now_s: float
    ) -> None:
        """Removes the records whose VM has been missing for long enough.

        The list lags behind, so a new VM is missing from it at first.
        """
        self._prune_missing_since(vms)
        for record in assigned:
            if record.vm_id in vms:
                continue
            since_s = self._missing_since_s.setdefault(record, now_s)
            if now_s - since_s >= self._settings.vm_list_lag_s:
                await self._remove(record)

    def _prune_missing_since(self, vms: VmsById) -> None:
        """Drops members that were removed or whose VM is listed again."""
        present = set(self._members.members())
        self._missing_since_s = {
            record: since_s
            for record, since_s in self._missing_since_s.items()
            if record in present and record.vm_id not in vms
        }

    async def _remove(self, record: member.Member) -> None:
        found = await self._read_unchanged(record)
        if found is not None:
            write = self._platform.delete(found.key, found.version)
            if await self._succeeds(write):
                logger.info("membership.vm_gone", vm_id=record.vm_id)

    async def _mark_draining(self, record: member.Member) -> None:
        if record.state is member.MemberState.DRAINING:
            return
        found = await self._read_unchanged(record)
        if found is not None:
            draining = msgspec.structs.replace(
                record, state=member.MemberState.DRAINING
            )
            write = self._platform.update(found.key, draining, found.version)
            if await self._succeeds(write):
                logger.info("membership.vm_leaving", vm_id=record.vm_id)

    async def _read_unchanged(
        self, record: member.Member
    ) -> objects.PlatformObject | None:
        found = await self._platform.get(member.key_of(record))
        if found is None or member.decode(found.value) != record:
            return None
        return found

    async def _succeeds(self, write: Awaitable[object]) -> bool:
        """Returns whether a conditional write met no conflict."""
        try:
            await write
        except errors.VersionConflictError:
            logger.info("membership.record_changed")
            return False
        return True
