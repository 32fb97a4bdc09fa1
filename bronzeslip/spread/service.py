"""Replication of objects as a component of a daemon."""

from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import watcher
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import hub
from bronzeslip.spread import node
from bronzeslip.spread import relay
from bronzeslip.spread import status_aggregator
from bronzeslip.store import client
from bronzeslip.transport import workers

SUSPECTS_PREFIX = "suspects/"

_PREFIXES = {
    member.MemberRole.GATEWAY: (
        manifest.PREFIX,
        member.MEMBERS_PREFIX,
        SUSPECTS_PREFIX,
    ),
    member.MemberRole.SIDECAR: (manifest.PREFIX, member.GATEWAYS_PREFIX),
}


class ReplicationService:
    """Keeps the configuration and the members of a process up to date.

    Attributes:
        hub: Objects by prefix, followed by other components.
        configuration: Active configuration.
        members: Known members; on a sidecar, only gateways.
        aggregator: Active configuration numbers of this process and its
            followers.
        relay: Serves the hub to other processes.
        node: Updates the hub from the platform or a relay.
    """

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        platform: client.PlatformClient,
        extra_prefixes: tuple[str, ...] = (),
    ) -> None:
        """Creates the service.

        Args:
            settings: Settings of the process.
            role: Role of the process.
            platform: Client of the platform.
            extra_prefixes: Prefixes to replicate in addition to those of the
                role.
        """
        self.hub = hub.PrefixHub((*_PREFIXES[role], *extra_prefixes))
        self.configuration = in_force.ConfigurationInForce()
        self.members = directory.MemberDirectory()
        self.aggregator = status_aggregator.StatusAggregator(
            settings, role, self.configuration
        )
        self.relay = relay.Relay(settings, self.hub, self.aggregator)
        self.node = node.ReplicationNode(
            settings, role, platform, self.hub, self.aggregator, self.members
        )
        self._watcher = watcher.ConfigurationWatcher(self.configuration)
        self._members_prefix = (
            member.MEMBERS_PREFIX
            if role is member.MemberRole.GATEWAY
            else member.GATEWAYS_PREFIX
        )

    async def run(self) -> None:
        """Replicates until cancelled."""
        await workers.run_together(
            self.node.run(),
            self.hub.create_follower(
                manifest.PREFIX, self._watcher.on_list, self._watcher.on_event
            ).run(),
            self.hub.create_follower(
                self._members_prefix,
                self.members.on_list,
                self.members.on_event,
            ).run(),
        )
