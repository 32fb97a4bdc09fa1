"""The spread of objects as one part of a daemon."""

from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import watcher
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import hub
from bronzeslip.spread import node
from bronzeslip.spread import relay
from bronzeslip.spread import status_board
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


class SpreadService:
    """Keeps the configuration and the members of a process up to date.

    Attributes:
        hub: Objects by prefix; other parts follow them here.
        configuration: Configuration in force.
        members: Known members; at a sidecar, the gateways alone.
        board: What this process and its followers have in force.
        relay: Serves the hub to other processes.
        node: Follows the platform or a relay.
    """

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        platform: client.PlatformClient,
        more_prefixes: tuple[str, ...] = (),
    ) -> None:
        """Creates the service.

        Args:
            settings: Settings of the process.
            role: Program that the process runs.
            platform: Client of the platform.
            more_prefixes: Prefixes to follow beside those of the role.
        """
        self.hub = hub.SpreadHub((*_PREFIXES[role], *more_prefixes))
        self.configuration = in_force.ActiveConfiguration()
        self.members = directory.MemberDirectory()
        self.board = status_board.StatusBoard(
            settings, role, self.configuration
        )
        self.relay = relay.Relay(settings, self.hub, self.board)
        self.node = node.SpreadNode(
            settings, role, platform, self.hub, self.board, self.members
        )
        self._watcher = watcher.ConfigurationWatcher(self.configuration)
        self._members_prefix = (
            member.MEMBERS_PREFIX
            if role is member.MemberRole.GATEWAY
            else member.GATEWAYS_PREFIX
        )

    async def run(self) -> None:
        """Follows until cancelled."""
        await workers.run_together(
            self.node.run(),
            self.hub.follower(
                manifest.PREFIX, self._watcher.on_list, self._watcher.on_event
            ).run(),
            self.hub.follower(
                self._members_prefix,
                self.members.on_list,
                self.members.on_event,
            ).run(),
        )
