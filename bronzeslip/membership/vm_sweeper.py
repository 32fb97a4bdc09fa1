"""Keeps members' records in step with the platform's list of VMs."""

import asyncio
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

_TURNS_TO_EVERYWHERE = 12

Vms = dict[ids.VmId, objects.VmEntry]


class VmSweeper:
    """Removes records of VMs that are gone and marks those that leave.

    For each failure domain, the gateway ranked first among its own, or among
    all if it has none, does the work. As that one may itself be gone, every
    gateway looks at all failure domains now and then. Gateways that work at
    once do no harm: a record is only changed at the version and incarnation
    that was judged.
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
        self._duty: tuple[member.Member, ...] = ()
        self._duty_at_change = -1

    @property
    def settings(self) -> gateway.GatewaySettings:
        """Settings of the gateway."""
        return self._settings

    async def run(self) -> None:
        """Sweeps now and then until cancelled."""
        for turn in itertools.count(random.randrange(_TURNS_TO_EVERYWHERE)):
            interval_s = self._settings.vm_list_interval_s
            await asyncio.sleep(interval_s * random.uniform(0.75, 1.25))
            everywhere = turn % _TURNS_TO_EVERYWHERE == 0
            try:
                await self.sweep_once(time.monotonic(), everywhere)
            except errors.PlatformError as error:
                logger.warning("membership.sweep_failed", reason=error.message)

    async def sweep_once(self, now_s: float, everywhere: bool) -> None:
        """Compares records with the list.

        Args:
            now_s: Time on the monotonic clock, in seconds.
            everywhere: Whether to look at all failure domains, not only at
                those that are this gateway's duty.

        Raises:
            errors.PlatformError: If the platform gives no answer.
        """
        on_duty = self._members.members() if everywhere else self._on_duty()
        if not on_duty:
            return
        vms = {entry.vm_id: entry for entry in await self._platform.vms()}
        if not vms:
            return
        await self._remove_gone(on_duty, vms, now_s)
        for known in on_duty:
            listed = vms.get(known.vm_id)
            if listed is not None and listed.state is objects.VmState.LEAVING:
                await self._mark_leaving(known)

    def _on_duty(self) -> tuple[member.Member, ...]:
        """Lists the members that this gateway looks after."""
        if self._duty_at_change != self._members.change_count:
            self._duty_at_change = self._members.change_count
            self._duty = self._find_duty()
        return self._duty

    def _find_duty(self) -> tuple[member.Member, ...]:
        known = self._members.members()
        own = {
            domain
            for domain in {found.failure_domain for found in known}
            if self._holder_of(domain) == self._settings.vm_id
        }
        return tuple(found for found in known if found.failure_domain in own)

    def _holder_of(self, domain: ids.FailureDomainName) -> ids.VmId:
        serving = [
            known
            for known in self._members.gateways()
            if known.state is member.MemberState.SERVING
        ]
        near = [known for known in serving if known.failure_domain == domain]
        names = [known.vm_id for known in near or serving]
        return rendezvous.ranked(names, str, domain)[0] if names else ""

    async def _remove_gone(
        self, on_duty: Sequence[member.Member], vms: Vms, now_s: float
    ) -> None:
        """Removes the records whose VM has been missing for long enough.

        The list lags, so that a new VM is missing from it at first.
        """
        self._forget_found(vms)
        for known in on_duty:
            if known.vm_id in vms:
                continue
            since_s = self._missing_since_s.setdefault(known, now_s)
            if now_s - since_s >= self._settings.vm_list_lag_s:
                await self._remove(known)

    def _forget_found(self, vms: Vms) -> None:
        present = set(self._members.members())
        self._missing_since_s = {
            known: since_s
            for known, since_s in self._missing_since_s.items()
            if known in present and known.vm_id not in vms
        }

    async def _remove(self, known: member.Member) -> None:
        found = await self._same_incarnation(known)
        if found is not None:
            await self._ignoring_conflict(
                self._platform.delete(found.key, found.version)
            )
            logger.info("membership.vm_gone", vm_id=known.vm_id)

    async def _mark_leaving(self, known: member.Member) -> None:
        if known.state is member.MemberState.DRAINING:
            return
        found = await self._same_incarnation(known)
        if found is not None:
            leaving = msgspec.structs.replace(
                known, state=member.MemberState.DRAINING
            )
            await self._ignoring_conflict(
                self._platform.update(found.key, leaving, found.version)
            )
            logger.info("membership.vm_leaving", vm_id=known.vm_id)

    async def _same_incarnation(
        self, known: member.Member
    ) -> objects.PlatformObject | None:
        found = await self._platform.get(member.key_of(known))
        if found is None or member.decode(found.value) != known:
            return None
        return found

    async def _ignoring_conflict(self, write: object) -> None:
        try:
            await write
        except errors.VersionConflictError:
            logger.info("membership.record_changed")
